package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// putBody is the body of a PUT of a key.
type putBody struct {
	Value    []byte          `json:"value"`
	Expected keeper.Revision `json:"expectedRevision"`
	Lease    keeper.LeaseID  `json:"lease"`
}

// errorBody is the body of a response with an error; Revision is the current revision of
// the key after a conflict.
type errorBody struct {
	Error    string          `json:"error"`
	Revision keeper.Revision `json:"revision,omitempty"`
}

// Handler serves the platform's published protocol. For tests, it also serves /faults,
// which replaces the faults by a JSON object of Faults, and /calls, which returns Calls as
// JSON.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", e.serveGet)
	mux.HandleFunc("PUT /v1/keys/{key...}", e.servePut)
	mux.HandleFunc("GET /v1/list", e.serveList)
	mux.HandleFunc("GET /v1/watch", e.serveWatch)
	mux.HandleFunc("POST /v1/leases", e.serveGrant)
	mux.HandleFunc("POST /v1/leases/{id}/renew", e.serveRenew)
	mux.HandleFunc("DELETE /v1/leases/{id}", e.serveRevoke)
	mux.HandleFunc("PUT /faults", e.serveFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, e.Calls(), nil) })
	return mux
}

func (e *Engine) serveGet(w http.ResponseWriter, r *http.Request) {
	item, err := e.Get(r.Context(), r.PathValue("key"))
	writeResponse(w, item, err)
}

func (e *Engine) servePut(w http.ResponseWriter, r *http.Request) {
	var body putBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeResponse(w, nil, &keeper.UnavailableError{Reason: err.Error()})
		return
	}
	key := r.PathValue("key")
	revision, err := e.Put(r.Context(), keeper.PutRequest{
		Key: key, Value: body.Value, Expected: body.Expected, Lease: body.Lease,
	})
	writeResponse(w, keeper.Item{Key: key, Revision: revision}, err)
}

func (e *Engine) serveList(w http.ResponseWriter, r *http.Request) {
	items, err := e.List(r.Context(), r.FormValue("prefix"))
	writeResponse(w, items, err)
}

func (e *Engine) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMilliseconds"), 10, 64)
	change, err := e.Watch(r.Context(), r.FormValue("prefix"), keeper.Revision(after), time.Duration(wait)*time.Millisecond)
	writeResponse(w, change, err)
}

func (e *Engine) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMilliseconds int64 `json:"ttlMilliseconds"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	id, err := e.Grant(r.Context(), time.Duration(body.TTLMilliseconds)*time.Millisecond)
	writeResponse(w, map[string]keeper.LeaseID{"lease": id}, err)
}

// leaseOf returns the lease that a request names in its path, or 0 if the ID is not a
// number.
func leaseOf(r *http.Request) keeper.LeaseID {
	id, _ := strconv.ParseInt(strings.TrimSpace(r.PathValue("id")), 10, 64)
	return keeper.LeaseID(id)
}

func (e *Engine) serveRenew(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, struct{}{}, e.Renew(r.Context(), leaseOf(r)))
}

func (e *Engine) serveRevoke(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, struct{}{}, e.Revoke(r.Context(), leaseOf(r)))
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeResponse(w, nil, &keeper.UnavailableError{Reason: err.Error()})
		return
	}
	e.SetFaults(faults)
	writeResponse(w, faults, nil)
}

// writeResponse writes the value or the error. A call of unknown outcome gets no
// response: its connection is closed.
func writeResponse(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusOK
	switch typed := err.(type) {
	case nil:
	case *keeper.NotFoundError:
		status, value = http.StatusNotFound, errorBody{Error: typed.Error()}
	case *keeper.ConflictError:
		status, value = http.StatusConflict, errorBody{Error: typed.Error(), Revision: typed.Current}
	case *keeper.UnavailableError:
		status, value = http.StatusServiceUnavailable, errorBody{Error: typed.Reason}
	default:
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
