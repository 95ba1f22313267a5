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

// acceptOrder starts an order in the background, unless it was accepted before. Only an engine that checks fencing
// tokens rejects a stale order.
func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	record, duplicate := e.recordOrder(o)
	switch {
	case duplicate:
		w.WriteHeader(http.StatusNoContent)
	case record.Outcome == "refused":
		http.Error(w, "fencing token is too small", http.StatusConflict)
	default:
		e.wg.Go(func() { e.execute(record) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// recordOrder adds the order to the ledger. If the same order was accepted before, it adds nothing and returns true.
func (e *Engine) recordOrder(o engine.Order) (*OrderRecord, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wasAccepted(o.ID) {
		return nil, true
	}
	record := &OrderRecord{Order: o, At: time.Now(), Outcome: "running"}
	record.ctx, record.cancel = context.WithCancel(e.ctx)
	record.Stale = o.Fence < e.highestFence
	record.Conflict = e.currentOrder != nil
	e.ledger.Orders = append(e.ledger.Orders, record)
	if record.Stale && e.settings.ChecksFences {
		record.Outcome = "refused"
		record.Conflict = false
		return record, false
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.currentOrder = record
	return record, false
}

func (e *Engine) wasAccepted(id string) bool {
	if e.currentOrder != nil && e.currentOrder.ID == id {
		return true
	}
	return slices.Contains(e.doneOrders, id)
}

func (e *Engine) execute(record *OrderRecord) {
	var err error
	if record.Kind == engine.OrderRole {
		err = e.model.ChangeRole(record.ctx, engine.Role(record.Argument))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentOrder == record {
		e.currentOrder = nil
	}
	if err != nil || record.Outcome == "crashed" {
		return
	}
	record.Outcome = "done"
	e.doneOrders = append(e.doneOrders, record.ID)
	if len(e.doneOrders) > maxDoneOrders {
		e.doneOrders = e.doneOrders[1:]
	}
}

// raiseFence sets the smallest fencing token that the engine accepts. An engine that does not check tokens ignores it.
func (e *Engine) raiseFence(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
	if o.Fence < e.highestFence {
		http.Error(w, "fencing token is too small", http.StatusConflict)
		return
	}
	e.highestFence = o.Fence
	w.WriteHeader(http.StatusNoContent)
}

// showState answers with the engine's role, orders and fencing token.
func (e *Engine) showState(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	busy := e.model.Busy()
	role := e.model.Report().Role
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engine.State{Role: role, Done: slices.Clone(e.doneOrders), Busy: busy}
	if e.settings.ChecksFences {
		state.Fence = e.highestFence
	}
	if e.currentOrder != nil {
		state.Current = e.currentOrder.ID
	}
	writeResponse(w, state, nil)
}
