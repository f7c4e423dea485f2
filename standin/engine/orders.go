package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Order kinds.
const (
	LoadModel   = "load_model"
	LoadAdapter = "load_adapter"
	SetVersion  = "set_version"
	SetRole     = "set_role"
)

// Order is a control-plane command that changes the loaded model, version or adapters, or the role.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// state is the part of the engine's state that orders change.
type state struct {
	fence          uint64
	model, version string
	adapters       []string
	role           string
}

func initialState(config Config) state {
	return state{
		model: config.Model, version: config.Version, role: config.Role,
		adapters: slices.Clone(config.Adapters),
	}
}

// apply returns the state that results from an order.
func (s state) apply(order Order) (state, error) {
	switch order.Kind {
	case LoadModel:
		s.model, s.version, s.adapters = order.Model, order.Version, nil
	case SetVersion:
		s.version = order.Version
	case LoadAdapter:
		if !slices.Contains(s.adapters, order.Adapter) {
			s.adapters = append(slices.Clone(s.adapters), order.Adapter)
		}
	case SetRole:
		s.role = order.Role
	default:
		return s, fmt.Errorf("kind: %q is not an order", order.Kind)
	}
	return s, nil
}

// needsWeights reports whether the transition from s to next reads from the weight store.
func (s state) needsWeights(next state) bool {
	return s.model != next.model || s.version != next.version || len(s.adapters) < len(next.adapters)
}

// serves reports whether the named model or adapter is loaded. An engine without a model serves any name.
func (e *Server) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.model == "" || e.state.model == model || slices.Contains(e.state.adapters, model)
}

func (e *Server) handleOrder(c echo.Context) error {
	var order Order
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	fence, accepted := e.checkFence(order.Fence)
	if !accepted {
		return c.JSON(http.StatusConflict, map[string]uint64{"fence": fence})
	}
	return e.executeOrder(c, order)
}

// checkFence advances the fencing token if the engine checks fencing, and then rejects a token lower than the highest
// one seen. It returns the token in force and whether the order is accepted.
func (e *Server) checkFence(token uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.ChecksFencing {
		return e.state.fence, true
	}
	if token < e.state.fence {
		return e.state.fence, false
	}
	e.state.fence = token
	return token, true
}

// executeOrder loads the weights that the order needs and applies it. If the engine checks fencing and an order with
// a higher token arrives during the load, it answers with a conflict and keeps its state.
func (e *Server) executeOrder(c echo.Context, order Order) error {
	e.addPendingOrders(1)
	defer e.addPendingOrders(-1)
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	current := e.currentState()
	next, err := current.apply(order)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	e.recordAndLoad(c, order, current.needsWeights(next))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.fence > order.Fence && e.config.ChecksFencing {
		return c.JSON(http.StatusConflict, map[string]uint64{"fence": e.state.fence})
	}
	next.fence = e.state.fence
	if e.state.model != next.model || e.state.version != next.version {
		e.model.Cache().Clear()
	}
	e.state = next
	return c.JSON(http.StatusOK, map[string]uint64{"fence": next.fence})
}

func (e *Server) addPendingOrders(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingOrders += change
}

func (e *Server) currentState() state {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// recordAndLoad records the order as a run and, if it reads weights, waits for the load time. The load goes on if the
// sender disconnects.
func (e *Server) recordAndLoad(c echo.Context, order Order, reads bool) {
	run := backend.NewRun(c.Request(), mustEncode(order))
	run.Kind = "order"
	run.Body = string(mustEncode(order))
	run.Incarnation = e.Incarnation()
	e.Runs().Begin(run)
	if reads {
		control.Sleep(context.WithoutCancel(c.Request().Context()), e.config.LoadTime)
	}
	e.Runs().End(run, backend.Done, func() {
		if reads {
			run.WeightReads = 1
		}
	})
}
