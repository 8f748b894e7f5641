package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"time"

	"dunereach/admission"
	"dunereach/fairshare"
	"dunereach/internal/backends"
	"dunereach/internal/config"
	"dunereach/internal/discovery"
	"dunereach/internal/frontend"
	"dunereach/internal/transport"
	"dunereach/waittime"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// clock gives Unix seconds that only advance: engines' starts are told in them.
type clock struct {
	start time.Time
	unix  float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.unix + time.Since(c.start).Seconds() }

// Fleet is this router's part in the fleet (internal/agentdriver has one). All but News is called by the owner's goroutine and waits
// for nothing.
type Fleet interface {
	admission.Fleet
	Plan() admission.Plan                           // nil: there is none
	Run(ctx context.Context, group *errgroup.Group) // its goroutines end with the context
	News() <-chan func()                            // to be called by the owner's goroutine
	Tick(now float64, mind *admission.Brain)        // some ten times a second
	End(now float64)                                // the works are given back at once
}

// service is the router with its sockets.
type service struct {
	*Router
	cfg      config.Config
	clock    clock
	log      *zap.Logger
	list     *discovery.Follower
	net      *transport.Net
	inbox    transport.Inbox
	arrivals chan net.Conn
	accepted chan struct{} // closed: no more arrive
	answers  chan datagram
	ask      *net.UDPConn // to the name server of now
	askedBy  *net.UDPConn // the one before it, to the same: its answers may be on their way
	askedAt  float64      // when ask was opened
	group    *errgroup.Group
	ctx      context.Context
	sessions map[*frontend.Session]struct{}
	arrived  uint64 // connections of clients that were taken in so far
	waiting  arrivalState
	parts    split  // of the descriptors
	scratch  []byte // answers are put together here
	ticks    int
	tidied   int         // seconds
	waits    bool        // the last question has no answer yet
	heardAt  float64     // the name server's last answer
	deaf     bool        // it is missing, and the log says so
	odd      oddAnswers  // its last answers
	fleet    Fleet       // nil: none
	state    State       // nil: none
	subset   *subsetView // nil: the module sees the whole list
}

// Serve runs a router until the context ends it at once, or a stop ends it once all is answered. What of a
// renewed configuration can change while it runs is taken over.
func Serve(ctx context.Context, stop <-chan struct{}, renewed <-chan config.Config, cfg config.Config, fleet Fleet, state State, log *zap.Logger) error {
	s := &service{fleet: fleet, state: state, cfg: cfg, clock: newClock(), log: log, list: discovery.New(cfg.Settings.Zones, cfg.Settings.Kinds),
		inbox: make(transport.Inbox, 256), arrivals: make(chan net.Conn), accepted: make(chan struct{}), answers: make(chan datagram),
		sessions: map[*frontend.Session]struct{}{}}
	if _, err := s.list.Start(cfg.Known); err != nil {
		return err
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return fmt.Errorf("listen: %v", err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.ctx, s.group = ctx, group
	memory := int64(cfg.Limits.MemoryMB * (1 << 20))
	if memory == 0 {
		memory = 4 << 30
	}
	// A quarter of the memory for answers on their way out, and one for statements in hand; half of that for messages
	// that are not whole yet.
	s.net = transport.NewNet(ctx, group, s.inbox, memory/4, int64(s.split().lingering))
	s.Router = New(cfg.Settings, int(memory/4), log, s.list.Name)
	if len(cfg.Budgets.Nodes) > 0 {
		teams, err := fairshare.New(cfg.Budgets, s.clock.now())
		if err != nil {
			return err
		}
		s.Teams(teams, cfg.Budgets.Ageing)
	}
	if s.subset, err = newSubsetView(&cfg, s.list.Name, log); err != nil {
		return err
	}
	if w := cfg.Operator.Waits; w != nil {
		s.Waits(waittime.New(len(cfg.Settings.Profiles), cfg.Settings.Brain.MaxPause), w.Fields)
	}
	if fleet != nil {
		s.Router.Fleet(fleet, fleet.Plan())
		fleet.Run(ctx, group)
	}
	if state != nil {
		state.Recall(s.Router)
		state.Run(ctx, group)
	}
	group.Go(func() error { return s.accept(listener) })
	if err := s.askBy(cfg.NameServer); err != nil {
		cancel()
		listener.Close()
		group.Wait()
		return fmt.Errorf("name server: %v", err)
	}
	group.Go(func() error {
		defer cancel()
		defer s.hushAll()
		defer listener.Close()
		return s.own(stop, renewed, listener)
	})
	return group.Wait()
}

// accept hands on connections of clients until the listener's deadline, and then those that the system has accepted by then. It survives
// a lack of descriptors.
func (s *service) accept(l *net.TCPListener) error {
	defer close(s.accepted)
	defer l.Close()
	var backlog acceptBacklog
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			backlog.came = true
			select {
			case s.arrivals <- nc:
			case <-s.ctx.Done():
				nc.Close()
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if backlog.empty(l) {
				return nil
			}
		default:
			s.log.Warn("accept", zap.Error(err))
			select {
			case <-time.After(20 * time.Millisecond): // until some connection ends
			case <-s.ctx.Done():
				return nil
			}
		}
	}
}

// renew takes over what can change while the router runs: the name server, and news of the list. The rest is said
// in the log and kept as it was.
func (s *service) renew(c config.Config) {
	settings := c.Settings
	settings.Brain.Seed = s.cfg.Settings.Brain.Seed // new each time they are told, which is no change
	var kept []string
	for _, k := range [...]struct {
		name string
		same bool
	}{{"name", c.Name == s.cfg.Name}, {"listen", c.Listen == s.cfg.Listen}, {"limits", c.Limits == s.cfg.Limits},
		{"settings", reflect.DeepEqual(settings, s.cfg.Settings)}} {
		if !k.same {
			kept = append(kept, k.name)
		}
	}
	kept = append(kept, s.operators(c)...)
	if fresh, err := s.list.Start(c.Known); err != nil {
		s.log.Error("list of engines in the new configuration", zap.Error(err))
	} else if fresh {
		s.members(admission.Full)
	}
	if c.NameServer != s.cfg.NameServer {
		was := [...]*net.UDPConn{s.ask, s.askedBy} // their answers count no more
		if err := s.askBy(c.NameServer); err != nil {
			s.log.Error("name server", zap.Error(err))
			return
		}
		hush(was[:]...)
		s.cfg.NameServer, s.askedBy = c.NameServer, nil
	}
	s.question()
	s.log.Info("new configuration", zap.Stringer("nameserver", c.NameServer), zap.Strings("kept until a restart", kept))
}

// operators takes over what can change of the operators' file, and names what can't.
func (s *service) operators(c config.Config) (kept []string) {
	was, is := s.cfg.Operator, c.Operator
	switch {
	case (len(c.Budgets.Nodes) == 0) != (s.teams == nil):
		kept = append(kept, "teams") // commands in hand were taken with them, or without
	case s.teams != nil:
		if err := s.teams.Reconfigure(c.Budgets); err != nil {
			s.log.Error("teams of the new configuration", zap.Error(err))
			return append(kept, "teams")
		}
		if c.Budgets.Ageing != s.cfg.Budgets.Ageing {
			kept = append(kept, "budgets/ageing")
		}
	}
	if !reflect.DeepEqual(is.Fleet, was.Fleet) {
		kept = append(kept, "fleet")
	}
	if !reflect.DeepEqual(is.State, was.State) {
		kept = append(kept, "state")
	}
	if !reflect.DeepEqual(is.Subset, was.Subset) {
		kept = append(kept, "subset")
	}
	if (is.Waits == nil) != (was.Waits == nil) {
		kept = append(kept, "waits")
	} else if is.Waits != nil {
		s.tells = is.Waits.Fields
	}
	return kept
}

// own is the owner's goroutine.
func (s *service) own(stop <-chan struct{}, renewed <-chan config.Config, listener *net.TCPListener) error {
	pool := backends.New(s.Router, backends.Limits{Streams: max(s.cfg.Settings.Streams, 1), Conns: s.split().servers,
		Idle: s.cfg.Settings.ConnIdle,
		// An engine sends an answer in one go: a pause longer than a connection takes to come up is its end.
		Stall: s.cfg.Settings.ConnectTimeout}, s.dial)
	s.heardAt = s.clock.now()
	s.Router.Start(s.heardAt, pool)
	s.WatchBacklog()
	s.members(admission.Cached)
	if s.state != nil {
		defer s.state.End(s.Router)
	}
	defer s.dropHeld()
	s.log.Info("serving", zap.String("name", s.cfg.Name), zap.Stringer("listen", s.cfg.Listen),
		zap.Int("engines", len(s.list.List())))

	// An event counts as told 1.5 s after it happened, heard or not. A question every third tick hears of it well
	// before; while one has no answer every tick asks, so that a dozen may be lost.
	const tick, askEvery = backends.UnstickEvery * 1000 * time.Millisecond, 3
	asking := time.NewTicker(tick)
	defer asking.Stop()
	tidying := time.NewTicker(time.Second)
	defer tidying.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var ended <-chan time.Time
	closing, accepted := false, s.accepted
	var news <-chan func()
	if s.fleet != nil {
		news = s.fleet.News()
	}
	for {
		select {
		case take := <-news:
			s.at(s.clock.now())
			take()
		case e := <-s.inbox:
			s.Deliver(s.clock.now(), e)
		case nc := <-s.accepting():
			s.arrive(nc, closing)
		case <-accepted:
			accepted = nil
		case <-asking.C:
			s.at(s.clock.now())
			if s.fleet != nil {
				s.fleet.Tick(s.now, s.mind)
			}
			if s.state != nil {
				s.state.Tick(s.clock.now(), s.Router)
			}
			s.reviewSubset()
			s.pool.Unstick()
			s.pool.Settle()
			for c := range s.sessions {
				c.Tick()
			}
			s.waiting.retry = true
			if s.ticks++; s.waits || s.ticks%askEvery == 0 {
				s.askAnew()
				s.question()
			}
		case <-tidying.C:
			s.tidy()
		case msg := <-s.answers:
			if msg.from == s.ask || msg.from == s.askedBy {
				s.answer(msg.text)
			}
		case c := <-renewed:
			s.renew(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			s.End()
			if s.fleet != nil {
				s.fleet.End(s.clock.now())
			}
			s.log.Info("asked to end", zap.Int("owed", s.Owed()))
			// Clients still come for 0.6 s after the signal; what comes up to 0.7 s after it is answered.
			ended = time.After(700 * time.Millisecond)
		case <-ended:
			ended, closing = nil, true
			s.closeFront(listener)
		case <-s.ctx.Done():
			return nil
		}
		if s.waiting.retry {
			s.arriveHeld(closing)
		}
		next := s.Tick(s.clock.now())
		timer.Reset(time.Duration(max(next-s.clock.now(), 0) * 1e9))
		if closing && accepted == nil && len(s.sessions) == 0 && s.waiting.held == nil {
			return nil
		}
	}
}

// closeFront takes no more commands, but for those that came in time and are ready in the same instant.
func (s *service) closeFront(listener *net.TCPListener) {
	s.readOut()
	// What the kernel has accepted by now is taken and turned away: closed with the listener, it would be reset.
	const queued = 20 * time.Millisecond
	listener.SetDeadline(time.Now().Add(queued))
	for c := range s.sessions {
		c.Last(frontend.RouterEnds)
	}
}

// readOut takes what has come in so far, and no more than readers can have under way.
func (s *service) readOut() {
	for range cap(s.inbox) {
		select {
		case e := <-s.inbox:
			s.Deliver(s.clock.now(), e)
		case nc := <-s.accepting():
			s.arrive(nc, false)
		default:
			return
		}
	}
}

const auditEvery = 30 // seconds: some hundred promises of a busy team

// tidy closes connections to engines that were idle for long, and says when the name server is missing.
func (s *service) tidy() {
	s.at(s.clock.now())
	s.pool.Tidy()
	s.logCounts()
	s.watchStall(s.readyServers())
	if s.tidied++; s.tidied%auditEvery == 0 {
		s.Audit()
	}
	const silent = 3 // seconds: thirty questions with no answer are no chance
	if now := s.clock.now(); !s.deaf && now-s.heardAt > silent {
		s.deaf = true
		s.log.Warn("the name server does not answer", zap.Uint32("rev", s.list.Rev()))
	}
}

func (s *service) dial(addr netip.AddrPort, sink transport.Sink) backends.Line {
	// A hundred statements; an engine that takes nothing for longer is as good as silent.
	const limit = 4 << 20
	line := s.net.New(sink, limit)
	line.Whole() // an engine that closes its side reads nothing any more
	line.Dial(addr.String(), time.Duration(s.cfg.Settings.ConnectTimeout*1e9))
	return line
}
