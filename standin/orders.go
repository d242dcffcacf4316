package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/ports"
)

// orders is the state of an engine that orders change.
type orders struct {
	cfg      EngineConfig
	mu       sync.Mutex
	fence    uint64
	accepted []ports.Order
	loadedAt time.Time
	drain    bool
	// drainedBy is the id of the order that drained the engine.
	drainedBy string
	model     string
	version   string
	role      string
	adapters  []string
}

func newOrders(cfg EngineConfig) *orders {
	return &orders{
		cfg:      cfg,
		model:    cfg.Model,
		version:  cfg.Version,
		role:     cfg.Role,
		adapters: slices.Clone(cfg.Adapters),
	}
}

// Orders returns the accepted orders, oldest first, without repeats.
func (e *Engine) Orders() []ports.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.accepted)
}

func (o *orders) draining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drain
}

func (o *orders) fillReport(l *ports.LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l.Model, l.Version, l.Role = o.model, o.version, o.role
	l.Adapters = slices.Clone(o.adapters)
	l.Draining, l.DrainedBy = o.drain, o.drainedBy
	l.Loading = l.At.Before(o.loadedAt)
}

func (o *orders) serve(w http.ResponseWriter, r *http.Request) {
	var order ports.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, status := o.accept(time.Now(), order)
	if status != http.StatusOK {
		http.Error(w, "order refused", status)
		return
	}
	writeJSON(w, result)
}

// accept applies an order and returns its result with an HTTP status: 412 for
// an old fencing number, 400 for an unknown kind. A repeated order isn't
// applied again; its result says whether it is done.
func (o *orders) accept(now time.Time, order ports.Order) (ports.OrderResult, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.cfg.IgnoresFence && order.Fence < o.fence {
		return ports.OrderResult{}, http.StatusPreconditionFailed
	}
	o.fence = max(o.fence, order.Fence)
	again := slices.ContainsFunc(o.accepted, func(t ports.Order) bool { return t.ID == order.ID })
	if !again {
		if !o.apply(now, order) {
			return ports.OrderResult{}, http.StatusBadRequest
		}
		o.accepted = append(o.accepted, order)
	}
	return ports.OrderResult{Done: !now.Before(o.loadedAt), Fence: o.fence}, http.StatusOK
}

func (o *orders) apply(now time.Time, order ports.Order) bool {
	switch order.Kind {
	case ports.OrderLoadVersion:
		o.model, o.version, o.adapters = order.Model, order.Version, nil
		o.loadedAt = now.Add(o.cfg.LoadTime)
	case ports.OrderLoadAdapter:
		o.adapters = append(o.adapters, order.Adapter)
		o.loadedAt = now.Add(o.cfg.LoadTime)
	case ports.OrderRole:
		o.role = order.Role
	case ports.OrderDrain:
		o.drain, o.drainedBy = true, order.ID
	case ports.OrderResume:
		o.drain, o.drainedBy = false, ""
	default:
		return false
	}
	return true
}
