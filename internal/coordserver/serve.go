package coordserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
	"dunereach/internal/boottime"
	"dunereach/internal/netaddr"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// errorsByCode has the errors that are sent over HTTP, by their code in a response.
var errorsByCode = map[string]error{
	"elsewhere": coordinator.ErrNotLeader, "unsure": coordinator.ErrOutcomeUnknown, "session": coordinator.ErrUnknownSession, "bad": coordinator.ErrBadRequest,
	"busy": coordinator.ErrBusy, "superseded": registry.ErrSuperseded, "full": registry.ErrFull, "owned": registry.ErrOwned,
	"fence": registry.ErrFence, "work": registry.ErrNoTask, "keeper": registry.ErrCoordinator, "no session": registry.ErrNoSession,
	"version": registry.ErrUnknown, "conflict": registry.ErrConflict, "joined": coordinator.ErrJoined,
}

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error      string           `json:"error"`
	Text       string           `json:"text,omitempty"`
	Leader     string           `json:"leader,omitempty"` // the leader's address
	StaleFence *lease.TaskFence `json:"old,omitempty"`
}

// Err returns the error that the response reports.
func (f *ErrorResponse) Err() error {
	if f.StaleFence != nil {
		return &lease.StaleFenceError{Task: f.StaleFence.Task, Highest: f.StaleFence.Fence}
	}
	if known := errorsByCode[f.Error]; known != nil {
		if f.Text != "" {
			return fmt.Errorf("%w (%s)", known, f.Text)
		}
		return known
	}
	return errors.New(f.Text)
}

// newFault returns the response for an error. leader is the address of the leader, if it is known.
func newFault(err error, leader string) *ErrorResponse {
	var stale *lease.StaleFenceError
	if errors.As(err, &stale) {
		return &ErrorResponse{Error: "fence", Text: err.Error(), StaleFence: &lease.TaskFence{Task: stale.Task, Fence: stale.Highest}}
	}
	for code, known := range errorsByCode {
		if errors.Is(err, known) {
			return &ErrorResponse{Error: code, Text: err.Error(), Leader: leader}
		}
	}
	return &ErrorResponse{Error: "other", Text: err.Error()}
}

// request is a request for the goroutine that runs the coordinator.
type request struct {
	requestID uint64 // assigned by that goroutine
	start     func(k *coordinator.Coordinator, now float64, requestID uint64)
	response  chan reply // buffered, so that sending does not block after the client has left
}

type reply struct {
	coordinator.Response
	leader string
}

// server is the process of one coordinator.
type server struct {
	store         *Store
	coord         *coordinator.Coordinator
	log           *zap.Logger
	funcs         chan func(now float64) // run by the goroutine that owns the coordinator
	requests      chan *request
	pending       map[uint64]*request // by ID
	requestID     uint64              // the last ID assigned
	raftTransport *transport
	localAddr     string // source address of connections to other coordinators, "": chosen by the system
}

const (
	maxBody = 8 << 20 // bytes of one request of a router or an operator
	// maxRaftBody bounds one request of another coordinator: a snapshot, and the entries queued with it.
	maxRaftBody  = registry.MaxSnapshot + 8<<20
	tickInterval = 20 * time.Millisecond
)

// Options are the settings of a coordinator that depend on this machine.
type Options struct {
	Listen    string // address to listen on, if it is not the one that the others use; "": the one in the coordinator's identity
	LocalAddr string // source address of its connections, "": chosen by the system
}

// Serve runs the coordinator of a folder until the context ends.
func Serve(ctx context.Context, folder string, o Options, log *zap.Logger) error {
	store, err := Open(folder)
	if err != nil {
		return err
	}
	defer store.Close()
	id := store.Identity
	listen := id.Listen
	if o.Listen != "" {
		listen = o.Listen
	}
	if err := netaddr.CheckPrivate(listen); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	defer listener.Close()
	persisted, err := store.Load()
	if err != nil {
		return fmt.Errorf("%s: %v", folder, err)
	}
	s := &server{localAddr: o.LocalAddr, store: store, log: log, funcs: make(chan func(float64), 1024), requests: make(chan *request, 1024), pending: map[uint64]*request{}}
	group, ctx := errgroup.WithContext(ctx)
	s.raftTransport = newTransport(ctx, group, id, s)
	httpServer := &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10, BaseContext: func(net.Listener) context.Context { return ctx }}
	group.Go(func() error {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return httpServer.Close()
	})
	group.Go(func() error { return s.run(ctx, persisted) })
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// run is the goroutine that owns the coordinator. All access to the coordinator's state is made by it.
func (s *server) run(ctx context.Context, persisted coordinator.PersistedState) error {
	id := s.store.Identity
	if id.Fresh {
		if err := s.awaitCoordinators(ctx); err != nil {
			return err
		}
	}
	const holdTime = 1.0 // seconds: a quarter of the usual lease of 4 s
	var err error
	s.coord, err = coordinator.New(coordinator.Config{ID: id.ID, Name: id.Name, RegistryToken: id.Token, HoldTime: holdTime, Logger: raftLogger{s.log.Sugar()},
		Log: func(text string) { s.log.Info(text) }}, persisted, boottime.Now())
	if err != nil {
		return err
	}
	s.log.Info("keeping", zap.String("name", id.Name), zap.Uint64("id", id.ID), zap.String("record", id.Token), zap.String("listen", id.Listen))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := boottime.Now()
			s.coord.Tick(now)
			if s.coord.IsLeader() {
				s.coord.ReportVersion(id.ID, registry.Version)
			}
		case fn := <-s.funcs:
			fn(boottime.Now())
		case r := <-s.requests:
			s.startRequest(r)
		}
		for more := true; more; { // process everything received so far, so that one write to the disk covers it
			select {
			case fn := <-s.funcs:
				fn(boottime.Now())
			case r := <-s.requests:
				s.startRequest(r)
			default:
				more = false
			}
		}
		if err := s.processOutput(); err != nil {
			// Nothing that is not on the disk may be sent. This coordinator ends, and another one becomes the leader.
			return fmt.Errorf("storing the registry failed: %w", err)
		}
	}
}

func (s *server) startRequest(r *request) {
	s.requestID++
	r.requestID = s.requestID
	s.pending[s.requestID] = r
	r.start(s.coord, boottime.Now(), s.requestID)
}

// processOutput carries out the coordinator's outputs. Each is stored on disk before its messages and responses are
// sent.
func (s *server) processOutput() error {
	for {
		output, ok := s.coord.Output()
		if !ok {
			return nil
		}
		if err := s.store.Persist(&output); err != nil {
			return err
		}
		s.raftTransport.send(output.Messages, s.coord)
		for _, resp := range output.Responses {
			r := s.pending[resp.Request]
			delete(s.pending, resp.Request)
			if r == nil {
				continue
			}
			leader := ""
			if member := s.coord.Registry().Coordinator(resp.Leader); member != nil {
				leader = member.Addr
			}
			if live, ok := resp.Value.(*registry.Registry); ok { // a copy, since the live registry goes on changing
				resp.Value = newSnapshot(live)
			}
			r.response <- reply{resp, leader}
		}
		if err := s.coord.Done(); err != nil {
			return err
		}
		s.raftTransport.updatePeers(s.coord.Registry())
	}
}

// RegistrySnapshot is a copy of the registry for people and scripts.
type RegistrySnapshot struct {
	Index        uint64                 `json:"index"`
	Fence        uint64                 `json:"fence"`
	Lease        float64                `json:"lease"`
	Drift        float64                `json:"drift"`
	Coordinators []registry.Coordinator `json:"keepers"`
	Sessions     []registry.Session     `json:"sessions"`
	Tasks        []registry.Task        `json:"works"`
	Owners       map[string]string      `json:"owners"` // name of the owner of each owned task
}

func newSnapshot(r *registry.Registry) RegistrySnapshot {
	snap := RegistrySnapshot{Index: r.Index(), Fence: r.Fence(), Owners: map[string]string{}, Sessions: []registry.Session{}, Tasks: []registry.Task{}}
	snap.Lease, snap.Drift = r.LeaseTerms()
	for _, k := range r.Coordinators() {
		snap.Coordinators = append(snap.Coordinators, *k)
	}
	for _, x := range r.Sessions() {
		snap.Sessions = append(snap.Sessions, *x)
	}
	for _, x := range r.Tasks() {
		snap.Tasks = append(snap.Tasks, *x)
		if o := r.Session(x.Owner); o != nil {
			snap.Owners[x.Name] = o.Name
		}
	}
	return snap
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/beat", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(s, w, r, func(b *coordinator.Heartbeat) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.Heartbeat(now, n, b) }
		})
	})
	mux.HandleFunc("POST /v1/mail", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(s, w, r, func(m *coordinator.MessageBatch) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.PostMessages(now, n, m) }
		})
	})
	mux.HandleFunc("POST /v1/act", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(s, w, r, func(a *coordinator.Action) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.Perform(now, n, a) }
		})
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		handleJSON(s, w, r, func(o *coordinator.Order) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.ExecuteOrder(now, n, o) }
		})
	})
	mux.HandleFunc("GET /v1/record", func(w http.ResponseWriter, r *http.Request) {
		s.awaitResponse(w, r, func(k *coordinator.Coordinator, now float64, n uint64) { k.ReadRegistry(now, n) })
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { s.serveStatus(w, r) })
	mux.HandleFunc("POST /raft/{record}", s.raftTransport.receive)
	return mux
}

func handleJSON[T any](s *server, w http.ResponseWriter, r *http.Request, startFunc func(*T) func(*coordinator.Coordinator, float64, uint64)) {
	var message T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&message); err != nil {
		writeJSON(w, http.StatusBadRequest, &ErrorResponse{Error: "bad", Text: err.Error()})
		return
	}
	s.awaitResponse(w, r, startFunc(&message))
}

// awaitResponse waits for the response of the goroutine that owns the coordinator. A heartbeat is held for 1 s and a
// change of leader takes 2 s, so it gives up after 4 s.
func (s *server) awaitResponse(w http.ResponseWriter, r *http.Request, start func(*coordinator.Coordinator, float64, uint64)) {
	const requestTimeout = 4 * time.Second
	req := &request{start: start, response: make(chan reply, 1)}
	timeout := time.NewTimer(requestTimeout)
	defer timeout.Stop()
	select {
	case s.requests <- req:
	case <-timeout.C:
		writeJSON(w, http.StatusServiceUnavailable, &ErrorResponse{Error: "unsure", Text: "the coordinator is busy"})
		return
	case <-r.Context().Done():
		return
	}
	select {
	case resp := <-req.response:
		if resp.Err != nil {
			status := http.StatusConflict
			if errors.Is(resp.Err, coordinator.ErrNotLeader) {
				status = http.StatusMisdirectedRequest
			}
			writeJSON(w, status, newFault(resp.Err, resp.leader))
			return
		}
		writeJSON(w, http.StatusOK, resp.Value)
	case <-timeout.C:
		writeJSON(w, http.StatusServiceUnavailable, &ErrorResponse{Error: "unsure", Text: "the request was not committed in time: no majority of coordinators answers"})
	case <-r.Context().Done():
		select {
		case s.funcs <- func(float64) {
			delete(s.pending, req.requestID)
			if s.coord != nil {
				s.coord.RequestClosed(req.requestID)
			}
		}:
		case <-s.raftTransport.ctx.Done():
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *server) serveStatus(w http.ResponseWriter, r *http.Request) {
	statuses := make(chan coordinator.Status, 1)
	select {
	case s.funcs <- func(float64) {
		if s.coord == nil {
			id := s.store.Identity
			statuses <- coordinator.Status{ID: id.ID, Name: id.Name, Registry: id.Token, State: "waiting for the others to begin", Started: []int{}}
			return
		}
		statuses <- s.coord.Status()
	}:
	case <-r.Context().Done():
		return
	}
	select {
	case st := <-statuses:
		writeJSON(w, http.StatusOK, st)
	case <-r.Context().Done():
	}
}

// awaitCoordinators waits until every coordinator of a new registry answers. It returns an error if the registry knows
// this coordinator as one that has taken part. A coordinator that comes with an empty folder to such a registry has
// lost its votes, and it must not vote again under the same ID.
func (s *server) awaitCoordinators(ctx context.Context) error {
	id := s.store.Identity
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dialer(s.localAddr).DialContext}}
	defer client.CloseIdleConnections()
	present := map[uint64]bool{id.ID: true}
	s.log.Info("waiting for all coordinators of the new registry", zap.Int("keepers", len(id.Peers)))
	results := make(chan coordinator.Status, len(id.Peers))
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for len(present) < len(id.Peers) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fn := <-s.funcs: // other coordinators request this one's status
			fn(boottime.Now())
		case r := <-s.requests:
			r.response <- reply{Response: coordinator.Response{Err: coordinator.ErrNotLeader}}
		case status := <-results:
			if status.Registry != id.Token {
				return fmt.Errorf("coordinator %q belongs to another registry (%s, this one is %s)", status.Name, status.Registry, id.Token)
			}
			for _, startedID := range status.Started {
				if uint64(startedID) == id.ID {
					return fmt.Errorf("the registry already has coordinator %d, but this folder has never taken part: its votes are lost; use `dunekeep join`", id.ID)
				}
			}
			present[status.ID] = true
		case <-ticker.C:
			for _, peer := range id.Peers {
				if !present[peer.ID] {
					go func() { // ends by the client's timeout
						if status, err := fetchStatus(ctx, client, peer.Addr); err == nil {
							select {
							case results <- status:
							default:
							}
						}
					}()
				}
			}
		}
	}
	id.Fresh = false
	return s.store.SetIdentity(id)
}

func fetchStatus(ctx context.Context, c *http.Client, addr string) (status coordinator.Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&status)
}

// raftLogger passes on the messages of the raft library that need attention: errors and worse.
type raftLogger struct{ log *zap.SugaredLogger }

func (l raftLogger) Debug(...any)              {}
func (l raftLogger) Debugf(string, ...any)     {}
func (l raftLogger) Info(...any)               {}
func (l raftLogger) Infof(string, ...any)      {}
func (l raftLogger) Warning(...any)            {}
func (l raftLogger) Warningf(string, ...any)   {}
func (l raftLogger) Error(v ...any)            { l.log.Warn(v...) }
func (l raftLogger) Errorf(f string, v ...any) { l.log.Warnf(f, v...) }
func (l raftLogger) Fatal(v ...any)            { l.log.Fatal(v...) }
func (l raftLogger) Fatalf(f string, v ...any) { l.log.Fatalf(f, v...) }
func (l raftLogger) Panic(v ...any)            { l.log.Panic(v...) }
func (l raftLogger) Panicf(f string, v ...any) { l.log.Panicf(f, v...) }
func toUint(text string) uint64                { n, _ := strconv.ParseUint(strings.TrimSpace(text), 10, 64); return n }
