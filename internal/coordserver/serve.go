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

// Wire errors, by the word that stands for them in an answer.
var wireErrors = map[string]error{
	"elsewhere": coordinator.ErrNotLeader, "unsure": coordinator.ErrOutcomeUnknown, "session": coordinator.ErrUnknownSession, "bad": coordinator.ErrBadRequest,
	"busy": coordinator.ErrBusy, "superseded": registry.ErrSuperseded, "full": registry.ErrFull, "owned": registry.ErrOwned,
	"fence": registry.ErrFence, "work": registry.ErrNoTask, "keeper": registry.ErrCoordinator, "no session": registry.ErrNoSession,
	"version": registry.ErrUnknown,
}

// Fault is an answer that is an error.
type Fault struct {
	Error  string           `json:"error"`
	Text   string           `json:"text,omitempty"`
	Leader string           `json:"leader,omitempty"` // address of who leads
	Old    *lease.TaskFence `json:"old,omitempty"`
}

// Err is the error that a fault stands for.
func (f *Fault) Err() error {
	if f.Old != nil {
		return &lease.StaleFenceError{Task: f.Old.Task, Highest: f.Old.Fence}
	}
	if e := wireErrors[f.Error]; e != nil {
		if f.Text != "" {
			return fmt.Errorf("%w (%s)", e, f.Text)
		}
		return e
	}
	return errors.New(f.Text)
}

func faultOf(err error, leader string) *Fault {
	var old *lease.StaleFenceError
	if errors.As(err, &old) {
		return &Fault{Error: "fence", Text: err.Error(), Old: &lease.TaskFence{Task: old.Task, Fence: old.Highest}}
	}
	for word, e := range wireErrors {
		if errors.Is(err, e) {
			return &Fault{Error: word, Text: err.Error(), Leader: leader}
		}
	}
	return &Fault{Error: "other", Text: err.Error()}
}

// request for the owner's goroutine.
type request struct {
	number uint64 // the owner's goroutine's
	do     func(k *coordinator.Coordinator, now float64, number uint64)
	answer chan reply // room for one: nobody waits for who went away
}

type reply struct {
	coordinator.Response
	leader string
}

// server of one keeper.
type server struct {
	store  *Store
	k      *coordinator.Coordinator
	log    *zap.Logger
	inbox  chan func(now float64)
	asks   chan *request
	open   map[uint64]*request
	number uint64
	wire   *transport
	from   string // address that calls to other keepers come from
}

const (
	mostBody = 8 << 20 // bytes of one request of a router or an operator
	// mostRaft is the bound on one request of another keeper: a snapshot, and entries that wait with it.
	mostRaft = registry.MaxSnapshot + 8<<20
	tick     = 20 * time.Millisecond
)

// Options of a keeper on this machine.
type Options struct {
	Listen string // where others come by another address than the one that they know it by; "": that one
	From   string // address that its calls come from, "": the system's choice
}

// Serve until the context ends.
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
	stored, err := store.Load()
	if err != nil {
		return fmt.Errorf("%s: %v", folder, err)
	}
	s := &server{from: o.From, store: store, log: log, inbox: make(chan func(float64), 1024), asks: make(chan *request, 1024), open: map[uint64]*request{}}
	group, ctx := errgroup.WithContext(ctx)
	s.wire = newTransport(ctx, group, id, s)
	h := &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10, BaseContext: func(net.Listener) context.Context { return ctx }}
	group.Go(func() error {
		if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return h.Close()
	})
	group.Go(func() error { return s.own(ctx, stored) })
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// own is the goroutine that has the keeper.
func (s *server) own(ctx context.Context, stored coordinator.PersistedState) error {
	id := s.store.Identity
	if id.Fresh {
		if err := s.begin(ctx); err != nil {
			return err
		}
	}
	const holds = 1.0 // seconds: a quarter of a lease of four, the usual one
	var err error
	s.k, err = coordinator.New(coordinator.Config{ID: id.ID, Name: id.Name, RegistryToken: id.Token, HoldTime: holds, Logger: quiet{s.log.Sugar()},
		Log: func(text string) { s.log.Info(text) }}, stored, boottime.Now())
	if err != nil {
		return err
	}
	s.log.Info("keeping", zap.String("name", id.Name), zap.Uint64("id", id.ID), zap.String("record", id.Token), zap.String("listen", id.Listen))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := boottime.Now()
			s.k.Tick(now)
			if s.k.IsLeader() {
				s.k.ReportVersion(id.ID, registry.Version)
			}
		case do := <-s.inbox:
			do(boottime.Now())
		case r := <-s.asks:
			s.ask(r)
		}
		for more := true; more; { // all that has come goes into one write to the disk
			select {
			case do := <-s.inbox:
				do(boottime.Now())
			case r := <-s.asks:
				s.ask(r)
			default:
				more = false
			}
		}
		if err := s.carry(); err != nil {
			// What is not on the disk must not be said: another keeper leads on.
			return fmt.Errorf("the record can't be kept: %w", err)
		}
	}
}

func (s *server) ask(r *request) {
	s.number++
	r.number = s.number
	s.open[s.number] = r
	r.do(s.k, boottime.Now(), s.number)
}

// carry out what the keeper put out: the disk first.
func (s *server) carry() error {
	for {
		out, ok := s.k.Output()
		if !ok {
			return nil
		}
		if err := s.store.Keep(&out); err != nil {
			return err
		}
		s.wire.send(out.Messages, s.k)
		for _, a := range out.Responses {
			r := s.open[a.Request]
			delete(s.open, a.Request)
			if r == nil {
				continue
			}
			leader := ""
			if x := s.k.Registry().Coordinator(a.Leader); x != nil {
				leader = x.Addr
			}
			if rec, ok := a.Value.(*registry.Registry); ok { // as it is now: it goes on changing
				a.Value = picture(rec)
			}
			r.answer <- reply{a, leader}
		}
		if err := s.k.Done(); err != nil {
			return err
		}
		s.wire.peers(s.k.Registry())
	}
}

// Picture of the record, for people and scripts.
type Picture struct {
	Index    uint64                 `json:"index"`
	Fence    uint64                 `json:"fence"`
	Lease    float64                `json:"lease"`
	Drift    float64                `json:"drift"`
	Keepers  []registry.Coordinator `json:"keepers"`
	Sessions []registry.Session     `json:"sessions"`
	Works    []registry.Task        `json:"works"`
	Owners   map[string]string      `json:"owners"` // name of each owned work's owner
}

func picture(r *registry.Registry) Picture {
	p := Picture{Index: r.Index(), Fence: r.Fence(), Owners: map[string]string{}, Sessions: []registry.Session{}, Works: []registry.Task{}}
	p.Lease, p.Drift = r.LeaseTerms()
	for _, k := range r.Coordinators() {
		p.Keepers = append(p.Keepers, *k)
	}
	for _, x := range r.Sessions() {
		p.Sessions = append(p.Sessions, *x)
	}
	for _, x := range r.Tasks() {
		p.Works = append(p.Works, *x)
		if o := r.Session(x.Owner); o != nil {
			p.Owners[x.Name] = o.Name
		}
	}
	return p
}

func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/beat", func(w http.ResponseWriter, r *http.Request) {
		handle(s, w, r, func(b *coordinator.Heartbeat) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.Heartbeat(now, n, b) }
		})
	})
	mux.HandleFunc("POST /v1/mail", func(w http.ResponseWriter, r *http.Request) {
		handle(s, w, r, func(m *coordinator.MessageBatch) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.PostMessages(now, n, m) }
		})
	})
	mux.HandleFunc("POST /v1/act", func(w http.ResponseWriter, r *http.Request) {
		handle(s, w, r, func(a *coordinator.Action) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.Perform(now, n, a) }
		})
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		handle(s, w, r, func(o *coordinator.Order) func(*coordinator.Coordinator, float64, uint64) {
			return func(k *coordinator.Coordinator, now float64, n uint64) { k.ExecuteOrder(now, n, o) }
		})
	})
	mux.HandleFunc("GET /v1/record", func(w http.ResponseWriter, r *http.Request) {
		s.wait(w, r, func(k *coordinator.Coordinator, now float64, n uint64) { k.ReadRegistry(now, n) })
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { s.status(w, r) })
	mux.HandleFunc("POST /raft/{record}", s.wire.receive)
	return mux
}

func handle[T any](s *server, w http.ResponseWriter, r *http.Request, of func(*T) func(*coordinator.Coordinator, float64, uint64)) {
	var v T
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody)).Decode(&v); err != nil {
		write(w, http.StatusBadRequest, &Fault{Error: "bad", Text: err.Error()})
		return
	}
	s.wait(w, r, of(&v))
}

// wait for the owner's answer. Beats are held for a second, and a change of leaders takes two: four are long.
func (s *server) wait(w http.ResponseWriter, r *http.Request, do func(*coordinator.Coordinator, float64, uint64)) {
	const patience = 4 * time.Second
	q := &request{do: do, answer: make(chan reply, 1)}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	select {
	case s.asks <- q:
	case <-timeout.C:
		write(w, http.StatusServiceUnavailable, &Fault{Error: "unsure", Text: "the keeper is busy"})
		return
	case <-r.Context().Done():
		return
	}
	select {
	case a := <-q.answer:
		if a.Err != nil {
			status := http.StatusConflict
			if errors.Is(a.Err, coordinator.ErrNotLeader) {
				status = http.StatusMisdirectedRequest
			}
			write(w, status, faultOf(a.Err, a.leader))
			return
		}
		write(w, http.StatusOK, a.Value)
	case <-timeout.C:
		write(w, http.StatusServiceUnavailable, &Fault{Error: "unsure", Text: "it was not agreed in time: no majority of keepers answers"})
	case <-r.Context().Done():
		select {
		case s.inbox <- func(float64) {
			delete(s.open, q.number)
			if s.k != nil {
				s.k.RequestClosed(q.number)
			}
		}:
		case <-s.wire.ctx.Done():
		}
	}
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	got := make(chan coordinator.Status, 1)
	select {
	case s.inbox <- func(float64) {
		if s.k == nil {
			id := s.store.Identity
			got <- coordinator.Status{ID: id.ID, Name: id.Name, Registry: id.Token, State: "waiting for the others to begin", Started: []int{}}
			return
		}
		got <- s.k.Status()
	}:
	case <-r.Context().Done():
		return
	}
	select {
	case st := <-got:
		write(w, http.StatusOK, st)
	case <-r.Context().Done():
	}
}

// begin waits until every keeper of a new record is there and none has taken part yet, or the record has not seen this one: who
// comes with an empty folder to a record that knows it has lost its votes, and must not vote again under its number.
func (s *server) begin(ctx context.Context) error {
	id := s.store.Identity
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dialer(s.from).DialContext}}
	defer client.CloseIdleConnections()
	seen := map[uint64]bool{id.ID: true}
	s.log.Info("waiting for all keepers of the new record", zap.Int("keepers", len(id.Peers)))
	results := make(chan coordinator.Status, len(id.Peers))
	ask := time.NewTicker(200 * time.Millisecond)
	defer ask.Stop()
	for len(seen) < len(id.Peers) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-s.inbox: // others ask for our status
			do(boottime.Now())
		case r := <-s.asks:
			r.answer <- reply{Response: coordinator.Response{Err: coordinator.ErrNotLeader}}
		case st := <-results:
			if st.Registry != id.Token {
				return fmt.Errorf("the keeper %q at its address keeps another record (%s, this one is %s)", st.Name, st.Registry, id.Token)
			}
			for _, n := range st.Started {
				if uint64(n) == id.ID {
					return fmt.Errorf("the record knows keeper %d already, but this folder has never taken part: what it voted is lost; use `dunekeep join`", id.ID)
				}
			}
			seen[st.ID] = true
		case <-ask.C:
			for _, p := range id.Peers {
				if !seen[p.ID] {
					go func() { // ends with its client's time
						if st, err := askStatus(ctx, client, p.Addr); err == nil {
							select {
							case results <- st:
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

func askStatus(ctx context.Context, c *http.Client, addr string) (st coordinator.Status, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&st)
}

// quiet passes on what raft's library says that people should see.
type quiet struct{ log *zap.SugaredLogger }

func (q quiet) Debug(...any)              {}
func (q quiet) Debugf(string, ...any)     {}
func (q quiet) Info(...any)               {}
func (q quiet) Infof(string, ...any)      {}
func (q quiet) Warning(...any)            {}
func (q quiet) Warningf(string, ...any)   {}
func (q quiet) Error(v ...any)            { q.log.Warn(v...) }
func (q quiet) Errorf(f string, v ...any) { q.log.Warnf(f, v...) }
func (q quiet) Fatal(v ...any)            { q.log.Fatal(v...) }
func (q quiet) Fatalf(f string, v ...any) { q.log.Fatalf(f, v...) }
func (q quiet) Panic(v ...any)            { q.log.Panic(v...) }
func (q quiet) Panicf(f string, v ...any) { q.log.Panicf(f, v...) }
func number(text string) uint64           { n, _ := strconv.ParseUint(strings.TrimSpace(text), 10, 64); return n }
