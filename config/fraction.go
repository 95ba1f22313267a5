package config

import (
	"fmt"
	"reflect"
	"strconv"
)

// Fraction is a number from 0 to 1, or auto for one that follows what is measured.
type Fraction struct {
	Auto  bool
	Value float64 // unless Auto is set
}

// autoWord is the text of an automatic Fraction.
const autoWord = "auto"

var fractionType = reflect.TypeFor[Fraction]()

func setFraction(target reflect.Value, text string) error {
	if text == autoWord {
		target.Set(reflect.ValueOf(Fraction{Auto: true}))
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= 1) {
		return fmt.Errorf("value %q is neither %s nor a number from 0 to 1", text, autoWord)
	}
	target.Set(reflect.ValueOf(Fraction{Value: value}))
	return nil
}
