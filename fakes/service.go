package fakes

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Booking is one executed call in a plain service's ledger.
type Booking struct {
	Key       string          `json:"key"`
	Path      string          `json:"path"`
	RequestID units.RequestID `json:"requestId"`
	Body      string          `json:"body"`
	Number    string          `json:"number"` // random, to tell two executions of the same call apart
}

// ServiceFaults are the faults that a stand-in plain service injects.
type ServiceFaults struct {
	Delay       time.Duration `json:"delay"`       // before the call is executed, in nanoseconds
	AnswerDelay time.Duration `json:"answerDelay"` // after the call is executed, in nanoseconds
	Refuse      bool          `json:"refuse"`      // answers 503 without executing the call
	Abort       bool          `json:"abort"`       // executes the call, then closes the connection without an answer
}

// Service is a stand-in plain service for deposits and regrind bookings. It does not deduplicate calls, so that the
// ledger shows repeated executions.
type Service struct {
	router *httprouter.Router

	mu       sync.Mutex
	bookings []Booking
	reads    int
	faults   ServiceFaults
	onBook   func(b Booking)
}

// NewService returns a stand-in plain service.
func NewService() *Service {
	s := &Service{router: httprouter.New()}
	s.router.POST("/deposits", s.book)
	s.router.POST("/regrinds", s.book)
	s.router.GET("/availability", s.availability)
	s.router.GET("/load", s.load)
	s.router.GET("/ledger", s.ledger)
	s.router.PUT("/control/faults", s.controlFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	echoID(w, r)
	s.router.ServeHTTP(w, r)
}

// Bookings returns a copy of the ledger.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bookings)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// OnBook sets a function that is called after each call is executed, before it is answered.
func (s *Service) OnBook(f func(b Booking)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBook = f
}

// book executes a call and adds it to the ledger.
func (s *Service) book(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faults := s.currentFaults()
	if faults.Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	booking := Booking{
		Key:       r.Header.Get(engine.HeaderIdempotencyKey),
		Path:      r.URL.Path,
		RequestID: units.RequestID(r.Header.Get(engine.HeaderRequestID)),
		Body:      string(body),
		Number:    rand.Text(),
	}
	s.mu.Lock()
	s.bookings = append(s.bookings, booking)
	onBook := s.onBook
	s.mu.Unlock()
	if onBook != nil {
		onBook(booking)
	}
	time.Sleep(faults.AnswerDelay)
	if faults.Abort {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(booking)
}

func (s *Service) availability(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	faults := s.currentFaults()
	if faults.Refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	s.mu.Lock()
	s.reads++
	taken := len(s.bookings)
	s.mu.Unlock()
	writeResponse(w, map[string]int{"taken": taken}, nil)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, engine.Report{Role: engine.RoleMixed, Incarnation: "1", Sequence: 1}, nil)
}

func (s *Service) ledger(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, s.Bookings(), nil)
}

func (s *Service) controlFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) currentFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
