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

// Booking is one entry of a plain service's ledger.
type Booking struct {
	Key       string          `json:"key"`
	Path      string          `json:"path"`
	RequestID units.RequestID `json:"requestId"`
	Body      string          `json:"body"`
	Number    string          `json:"number"`
}

// ServiceFaults are the faults that a stand-in plain service injects.
type ServiceFaults struct {
	Delay       time.Duration `json:"delay"`       // before the call runs, in nanoseconds
	AnswerDelay time.Duration `json:"answerDelay"` // after the call ran, in nanoseconds
	Refuse      bool          `json:"refuse"`      // 503 without running
	Abort       bool          `json:"abort"`       // run, then cut the connection
}

// Service is a stand-in plain service: deposits and regrind bookings run each time they are called.
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
	s.router.PUT("/control/faults", s.control)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// OnBook calls the function after each call has run, before it is answered.
func (s *Service) OnBook(f func(b Booking)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBook = f
}

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
	answer(w, map[string]int{"taken": taken}, nil)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(w, engine.Report{Role: engine.RoleMixed, Incarnation: "1", Sequence: 1}, nil)
}

func (s *Service) ledger(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(w, s.Bookings(), nil)
}

func (s *Service) control(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
