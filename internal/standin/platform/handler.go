// Package platform serves an in-memory platform over HTTP with fault injection, for tests and demonstrations.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/httpkv"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

const (
	maxBodyBytes = 64 << 20
	maxScanRows  = 10_000
)

// Handler serves an in-memory platform with the protocol of the httpkv driver. It also serves GET /faults and POST /faults for
// fault injection, and GET /stats.
type Handler struct {
	// Memory is the platform behind the handler.
	Memory *memory.Platform
	router *httprouter.Router
}

// NewHandler returns a handler with an empty platform.
func NewHandler() *Handler {
	h := &Handler{Memory: memory.New(), router: httprouter.New()}
	h.router.HandlerFunc(http.MethodGet, httpkv.PathRow, h.getRow)
	h.router.HandlerFunc(http.MethodGet, httpkv.PathScan, h.scan)
	h.router.HandlerFunc(http.MethodPost, httpkv.PathCommit, h.commit)
	h.router.HandlerFunc(http.MethodGet, httpkv.PathObject, h.getObject)
	h.router.HandlerFunc(http.MethodPut, httpkv.PathObject, h.putObject)
	h.router.HandlerFunc(http.MethodDelete, httpkv.PathObject, h.deleteObject)
	h.router.HandlerFunc(http.MethodGet, httpkv.PathHosts, h.hosts)
	h.router.HandlerFunc(http.MethodPost, httpkv.PathHosts, h.announce)
	h.router.HandlerFunc(http.MethodGet, "/faults", h.getFaults)
	h.router.HandlerFunc(http.MethodPost, "/faults", h.setFaults)
	h.router.HandlerFunc(http.MethodGet, "/stats", h.stats)
	return h
}

// ServeHTTP serves one request. Request bodies over 64 MiB are rejected.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.router.ServeHTTP(w, r)
}

func (h *Handler) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := h.Memory.Get(r.Context(), r.URL.Query().Get("key"))
	writeResult(w, httpkv.Row(row), err)
}

func (h *Handler) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxScanRows {
		writeFailure(w, http.StatusBadRequest, httpkv.CodeInvalid, "limit must be from 1 to "+strconv.Itoa(maxScanRows))
		return
	}
	rows, err := h.Memory.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	answer := httpkv.Rows{Rows: make([]httpkv.Row, 0, len(rows))}
	for _, row := range rows {
		answer.Rows = append(answer.Rows, httpkv.Row(row))
	}
	writeResult(w, answer, err)
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	var txn httpkv.Txn
	if !decode(w, r, &txn) {
		return
	}
	writeResult(w, struct{}{}, h.Memory.Commit(r.Context(), httpkv.DecodeTxn(txn)))
}

func (h *Handler) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := h.Memory.GetObject(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (h *Handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, httpkv.CodeInvalid, err.Error())
		return
	}
	writeResult(w, struct{}{}, h.Memory.PutObject(r.Context(), r.URL.Query().Get("name"), data))
}

func (h *Handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeResult(w, struct{}{}, h.Memory.DeleteObject(r.Context(), r.URL.Query().Get("name")))
}

func (h *Handler) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := h.Memory.Hosts(r.Context())
	writeResult(w, httpkv.Hosts{Hosts: hosts}, err)
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request) {
	var entry store.HostEntry
	if !decode(w, r, &entry) {
		return
	}
	writeResult(w, struct{}{}, h.Memory.Announce(r.Context(), entry))
}

func (h *Handler) stats(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, h.Memory.Stats(), nil)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeFailure(w, http.StatusBadRequest, httpkv.CodeInvalid, err.Error())
		return false
	}
	return true
}

// writeResult writes value as JSON, or the failure that err maps to. For a write with an unknown outcome it aborts the connection
// instead, as if the response were lost on the network.
func writeResult(w http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	case errors.Is(err, store.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrNotFound):
		writeFailure(w, http.StatusNotFound, httpkv.CodeNotFound, err.Error())
	case errors.Is(err, store.ErrConflict):
		writeFailure(w, http.StatusConflict, httpkv.CodeConflict, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		writeFailure(w, http.StatusServiceUnavailable, httpkv.CodeUnavailable, err.Error())
	default:
		writeFailure(w, http.StatusInternalServerError, "", err.Error())
	}
}

func writeFailure(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(httpkv.Failure{Code: code, Message: message})
}
