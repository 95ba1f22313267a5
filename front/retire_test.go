package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecideRetirement guards against registrations that stay for good after their processes, and against the removal of one whose
// process lives.
func TestDecideRetirement(t *testing.T) {
	tests := []struct {
		name  string
		state registrationState
		want  retirement
	}{
		{name: "process is there", state: registrationState{keeps: true, heard: true}, want: leaveRegistration},
		{name: "gone for a short time", state: registrationState{keeps: true, goneFor: goneTime - time.Second}, want: leaveRegistration},
		{name: "gone", state: registrationState{keeps: true, goneFor: goneTime}, want: markRegistration},
		{name: "gone, kept by others", state: registrationState{goneFor: time.Hour}, want: leaveRegistration},
		{name: "written without the mark lately", state: registrationState{keeps: true, goneFor: time.Hour, paused: true}, want: leaveRegistration},
		{name: "marked lately", state: registrationState{keeps: true, goneFor: goneTime, marked: true, paused: true, markedFor: time.Second}, want: leaveRegistration},
		{name: "marked, nobody objects", state: registrationState{keeps: true, goneFor: 2 * goneTime, marked: true, paused: true, markedFor: goneTime}, want: removeRegistration},
		{name: "marked by another one, heard here", state: registrationState{keeps: true, heard: true, marked: true, markedFor: time.Hour}, want: clearRegistration},
		{name: "marked by another one, neither heard nor gone here", state: registrationState{keeps: true, marked: true, markedFor: time.Hour}, want: leaveRegistration},
		{name: "marked, this process stood still", state: registrationState{keeps: true, goneFor: time.Second, marked: true, markedFor: time.Hour}, want: leaveRegistration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, decideRetirement(tt.state), tt.want)
		})
	}
}
