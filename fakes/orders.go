package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/buckthorntrack/buckthorntrack/engine"
)

// order accepts an order. An engine that does not check fencing numbers accepts any.
func (e *Engine) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	held, known := e.hold(o)
	switch {
	case known:
		w.WriteHeader(http.StatusNoContent)
	case held.Outcome == "refused":
		http.Error(w, "fencing number is too small", http.StatusConflict)
	default:
		e.wg.Go(func() { e.carryOut(held) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// hold writes the order to the ledger. It reports true when the same order was accepted before.
func (e *Engine) hold(o engine.Order) (*HeldOrder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.knows(o.ID) {
		return nil, true
	}
	held := &HeldOrder{Order: o, At: time.Now(), Outcome: "running"}
	held.ctx, held.cancel = context.WithCancel(e.ctx)
	held.Stale = o.Fence < e.highest
	held.Conflict = e.current != nil
	e.ledger.Orders = append(e.ledger.Orders, held)
	if held.Stale && e.settings.ChecksFences {
		held.Outcome = "refused"
		held.Conflict = false
		return held, false
	}
	e.highest = max(e.highest, o.Fence)
	e.current = held
	return held, false
}

func (e *Engine) knows(id string) bool {
	if e.current != nil && e.current.ID == id {
		return true
	}
	return slices.Contains(e.done, id)
}

func (e *Engine) carryOut(held *HeldOrder) {
	var err error
	if held.Kind == engine.OrderRole {
		err = e.model.ChangeRole(held.ctx, engine.Role(held.Argument))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == held {
		e.current = nil
	}
	if err != nil || held.Outcome == "crashed" {
		return
	}
	held.Outcome = "done"
	e.done = append(e.done, held.ID)
	if len(e.done) > doneOrdersKept {
		e.done = e.done[1:]
	}
}

func (e *Engine) raise(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.ChecksFences {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if o.Fence < e.highest {
		http.Error(w, "fencing number is too small", http.StatusConflict)
		return
	}
	e.highest = o.Fence
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	busy := e.model.Busy()
	role := e.model.Report().Role
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engine.State{Role: role, Done: slices.Clone(e.done), Busy: busy}
	if e.settings.ChecksFences {
		state.Fence = e.highest
	}
	if e.current != nil {
		state.Current = e.current.ID
	}
	answer(w, state, nil)
}
