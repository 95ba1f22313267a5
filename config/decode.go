package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Struct tags that describe a key: its name, default value, whether it is required, allowed values and help text.
const (
	tagKey      = "key"
	tagDefault  = "default"
	tagRequired = "required"
	tagWords    = "words"
	tagHelp     = "help"
)

var durationType = reflect.TypeFor[time.Duration]()

// KeyHelp documents one key.
type KeyHelp struct {
	Key      string
	Type     string
	Default  string
	Required bool
	Help     string
}

// Decode decodes the section's values into the struct that target points to. It returns a problem for each invalid
// value, each missing required key and each unknown key.
func Decode(section *Section, target any) ProblemsError {
	var problems ProblemsError
	v := reflect.ValueOf(target).Elem()
	known := map[string]bool{}
	for _, field := range reflect.VisibleFields(v.Type()) {
		key := field.Tag.Get(tagKey)
		if key == "" {
			continue
		}
		known[key] = true
		if problem := decodeField(section, field, v.FieldByIndex(field.Index)); problem != nil {
			problems = append(problems, *problem)
		}
	}
	for _, key := range section.Keys() {
		if !known[key] {
			message := fmt.Sprintf("unknown key in [%s]", section.Title())
			problems = append(problems, Problem{Position: section.Values[key].Position, Key: key, Message: message})
		}
	}
	return problems
}

// Describe documents the keys of the struct that target points to.
func Describe(target any) []KeyHelp {
	var keys []KeyHelp
	for _, field := range reflect.VisibleFields(reflect.TypeOf(target).Elem()) {
		if key := field.Tag.Get(tagKey); key != "" {
			keys = append(keys, KeyHelp{
				Key:      key,
				Type:     typeName(field),
				Default:  field.Tag.Get(tagDefault),
				Required: field.Tag.Get(tagRequired) == "true",
				Help:     field.Tag.Get(tagHelp),
			})
		}
	}
	return keys
}

// decodeField sets the field from its key's value or from the default.
func decodeField(section *Section, field reflect.StructField, target reflect.Value) *Problem {
	key := field.Tag.Get(tagKey)
	value, ok := section.Values[key]
	if !ok {
		if field.Tag.Get(tagRequired) == "true" {
			return &Problem{Position: section.Position, Key: key, Message: "required key is missing"}
		}
		value = Value{Position: section.Position, Text: field.Tag.Get(tagDefault)}
	}
	if err := setField(field, target, value.Text); err != nil {
		return &Problem{Position: value.Position, Key: key, Message: err.Error()}
	}
	return nil
}

func setField(field reflect.StructField, target reflect.Value, text string) error {
	if words := field.Tag.Get(tagWords); words != "" && !isOneOf(text, words) {
		return fmt.Errorf("value %q is not one of %s", text, words)
	}
	switch {
	case target.Type() == durationType:
		return setDuration(target, text)
	case target.Type() == fractionType:
		return setFraction(target, text)
	case target.Kind() == reflect.Slice:
		return setList(target, text)
	default:
		return setScalar(target, text)
	}
}

func setDuration(target reflect.Value, text string) error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return fmt.Errorf("value %q is not a duration such as 250ms", text)
	}
	target.SetInt(int64(d))
	return nil
}

// setList decodes a comma-separated list.
func setList(target reflect.Value, text string) error {
	list := reflect.MakeSlice(target.Type(), 0, 1)
	for word := range strings.SplitSeq(text, ",") {
		word = strings.TrimSpace(word)
		if word == "" {
			continue
		}
		item := reflect.New(target.Type().Elem()).Elem()
		if err := setScalar(item, word); err != nil {
			return err
		}
		list = reflect.Append(list, item)
	}
	target.Set(list)
	return nil
}

func setScalar(target reflect.Value, text string) error {
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" && text != "" {
			return fmt.Errorf("value %q is not true or false", text)
		}
		target.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		return setInt(target, text)
	case reflect.Float64:
		return setFloat(target, text)
	default:
		return fmt.Errorf("field type %s is not supported", target.Type())
	}
	return nil
}

func setInt(target reflect.Value, text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("value %q is not a non-negative integer", text)
	}
	target.SetInt(n)
	return nil
}

func setFloat(target reflect.Value, text string) error {
	if text == "" {
		return nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0) {
		return fmt.Errorf("value %q is not a non-negative number", text)
	}
	target.SetFloat(f)
	return nil
}

// isOneOf reports whether text is one of the words, which are separated by a vertical bar.
func isOneOf(text, words string) bool {
	for word := range strings.SplitSeq(words, "|") {
		if word == text {
			return true
		}
	}
	return false
}

// typeName returns the type of the field's values for the help text.
func typeName(field reflect.StructField) string {
	if words := field.Tag.Get(tagWords); words != "" {
		return strings.ReplaceAll(words, "|", " or ")
	}
	if field.Type == durationType {
		return "duration"
	}
	if field.Type == fractionType {
		return "number or " + autoWord
	}
	switch field.Type.Kind() {
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return "text"
	}
}
