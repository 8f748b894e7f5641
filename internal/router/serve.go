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
	cfg                 config.Config
	clock               clock
	log                 *zap.Logger
	list                *discovery.Follower
	net                 *transport.Net
	inbox               transport.Inbox
	arrivals            chan net.Conn
	acceptDone          chan struct{} // closed: no more arrive
	answers             chan datagram
	querySocket         *net.UDPConn // to the name server of now
	previousSocket      *net.UDPConn // the one before it, to the same: its answers may be on their way
	querySocketOpenedAt float64      // when ask was opened
	group               *errgroup.Group
	ctx                 context.Context
	sessions            map[*frontend.Session]struct{}
	lastSerial          uint64 // connections of clients that were taken in so far
	clientArrivals      arrivalState
	limits              descriptorLimits // of the descriptors
	scratch             []byte           // answers are put together here
	ticks               int
	seconds             int           // seconds
	answerPending       bool          // the last question has no answer yet
	lastAnswerAt        float64       // the name server's last answer
	nameServerSilent    bool          // it is missing, and the log says so
	answerFault         repeatedFault // its last answers
	fleet               Fleet         // nil: none
	state               State         // nil: none
	subset              *subsetView   // nil: the module sees the whole list
}

// Serve runs a router until the context ends it at once, or a stop ends it once all is answered. What of a
// renewed configuration can change while it runs is taken over.
func Serve(ctx context.Context, stop <-chan struct{}, reloaded <-chan config.Config, cfg config.Config, fleet Fleet, state State, log *zap.Logger) error {
	s := &service{fleet: fleet, state: state, cfg: cfg, clock: newClock(), log: log, list: discovery.New(cfg.Settings.Zones, cfg.Settings.Kinds),
		inbox: make(transport.Inbox, 256), arrivals: make(chan net.Conn), acceptDone: make(chan struct{}), answers: make(chan datagram),
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
	s.net = transport.NewNet(ctx, group, s.inbox, memory/4, int64(s.descriptorLimits().lingering))
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
	if err := s.openQuerySocket(cfg.NameServer); err != nil {
		cancel()
		listener.Close()
		group.Wait()
		return fmt.Errorf("name server: %v", err)
	}
	group.Go(func() error {
		defer cancel()
		defer s.closeQuerySockets()
		defer listener.Close()
		return s.runOwner(stop, reloaded, listener)
	})
	return group.Wait()
}

// accept hands on connections of clients until the listener's deadline, and then those that the system has accepted by then. It survives
// a lack of descriptors.
func (s *service) accept(l *net.TCPListener) error {
	defer close(s.acceptDone)
	defer l.Close()
	var backlog acceptBacklog
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			backlog.accepted = true
			select {
			case s.arrivals <- nc:
			case <-s.ctx.Done():
				nc.Close()
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if backlog.drained(l) {
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

// reload takes over what can change while the router runs: the name server, and news of the list. The rest is said
// in the log and kept as it was.
func (s *service) reload(c config.Config) {
	settings := c.Settings
	settings.Brain.Seed = s.cfg.Settings.Brain.Seed // new each time they are told, which is no change
	var kept []string
	for _, setting := range [...]struct {
		name string
		same bool
	}{{"name", c.Name == s.cfg.Name}, {"listen", c.Listen == s.cfg.Listen}, {"limits", c.Limits == s.cfg.Limits},
		{"settings", reflect.DeepEqual(settings, s.cfg.Settings)}} {
		if !setting.same {
			kept = append(kept, setting.name)
		}
	}
	kept = append(kept, s.reloadOperatorFile(c)...)
	if updated, err := s.list.Start(c.Known); err != nil {
		s.log.Error("list of engines in the new configuration", zap.Error(err))
	} else if updated {
		s.publishList(admission.Full)
	}
	if c.NameServer != s.cfg.NameServer {
		previous := [...]*net.UDPConn{s.querySocket, s.previousSocket} // their answers count no more
		if err := s.openQuerySocket(c.NameServer); err != nil {
			s.log.Error("name server", zap.Error(err))
			return
		}
		closeSockets(previous[:]...)
		s.cfg.NameServer, s.previousSocket = c.NameServer, nil
	}
	s.sendQuestion()
	s.log.Info("new configuration", zap.Stringer("nameserver", c.NameServer), zap.Strings("kept until a restart", kept))
}

// reloadOperatorFile takes over what can change of the reloadOperatorFile' file, and names what can't.
func (s *service) reloadOperatorFile(c config.Config) (kept []string) {
	previous, current := s.cfg.Operator, c.Operator
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
	if !reflect.DeepEqual(current.Fleet, previous.Fleet) {
		kept = append(kept, "fleet")
	}
	if !reflect.DeepEqual(current.State, previous.State) {
		kept = append(kept, "state")
	}
	if !reflect.DeepEqual(current.Subset, previous.Subset) {
		kept = append(kept, "subset")
	}
	if (current.Waits == nil) != (previous.Waits == nil) {
		kept = append(kept, "waits")
	} else if current.Waits != nil {
		s.reportWaits = current.Waits.Fields
	}
	return kept
}

// runOwner is the owner's goroutine.
func (s *service) runOwner(stop <-chan struct{}, reloaded <-chan config.Config, listener *net.TCPListener) error {
	pool := backends.New(s.Router, backends.Limits{Streams: max(s.cfg.Settings.Streams, 1), Conns: s.descriptorLimits().servers,
		Idle: s.cfg.Settings.ConnIdle,
		// An engine sends an answer in one go: a pause longer than a connection takes to come up is its end.
		Stall: s.cfg.Settings.ConnectTimeout}, s.dial)
	s.lastAnswerAt = s.clock.now()
	s.Router.Start(s.lastAnswerAt, pool)
	s.WatchBacklog()
	s.publishList(admission.Cached)
	if s.state != nil {
		defer s.state.End(s.Router)
	}
	defer s.closePending()
	s.log.Info("serving", zap.String("name", s.cfg.Name), zap.Stringer("listen", s.cfg.Listen),
		zap.Int("engines", len(s.list.List())))

	// An event counts as told 1.5 s after it happened, heard or not. A question every third tickInterval hears of it well
	// before; while one has no answer every tickInterval asks, so that a dozen may be lost.
	const tickInterval, queryEvery = backends.UnstickEvery * 1000 * time.Millisecond, 3
	tickTicker := time.NewTicker(tickInterval)
	defer tickTicker.Stop()
	secondTicker := time.NewTicker(time.Second)
	defer secondTicker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var graceOver <-chan time.Time
	closing, acceptDone := false, s.acceptDone
	var fleetUpdates <-chan func()
	if s.fleet != nil {
		fleetUpdates = s.fleet.News()
	}
	for {
		select {
		case update := <-fleetUpdates:
			s.at(s.clock.now())
			update()
		case e := <-s.inbox:
			s.Deliver(s.clock.now(), e)
		case nc := <-s.nextArrival():
			s.acceptClient(nc, closing)
		case <-acceptDone:
			acceptDone = nil
		case <-tickTicker.C:
			s.at(s.clock.now())
			if s.fleet != nil {
				s.fleet.Tick(s.now, s.controller)
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
			s.clientArrivals.recheck = true
			if s.ticks++; s.answerPending || s.ticks%queryEvery == 0 {
				s.reopenIfSilent()
				s.sendQuestion()
			}
		case <-secondTicker.C:
			s.everySecond()
		case msg := <-s.answers:
			if msg.from == s.querySocket || msg.from == s.previousSocket {
				s.handleAnswer(msg.payload)
			}
		case c := <-reloaded:
			s.reload(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			s.End()
			if s.fleet != nil {
				s.fleet.End(s.clock.now())
			}
			s.log.Info("asked to end", zap.Int("owed", s.Owed()))
			// Clients still come for 0.6 s after the signal; what comes up to 0.7 s after it is answered.
			graceOver = time.After(700 * time.Millisecond)
		case <-graceOver:
			graceOver, closing = nil, true
			s.closeFrontend(listener)
		case <-s.ctx.Done():
			return nil
		}
		if s.clientArrivals.recheck {
			s.admitPending(closing)
		}
		next := s.Tick(s.clock.now())
		timer.Reset(time.Duration(max(next-s.clock.now(), 0) * 1e9))
		if closing && acceptDone == nil && len(s.sessions) == 0 && s.clientArrivals.pending == nil {
			return nil
		}
	}
}

// closeFrontend takes no more commands, but for those that came in time and are ready in the same instant.
func (s *service) closeFrontend(listener *net.TCPListener) {
	s.drainInbox()
	// What the kernel has accepted by now is taken and turned away: closed with the listener, it would be reset.
	const acceptTimeout = 20 * time.Millisecond
	listener.SetDeadline(time.Now().Add(acceptTimeout))
	for c := range s.sessions {
		c.Last(frontend.RouterEnds)
	}
}

// drainInbox takes what has come in so far, and no more than readers can have under way.
func (s *service) drainInbox() {
	for range cap(s.inbox) {
		select {
		case e := <-s.inbox:
			s.Deliver(s.clock.now(), e)
		case nc := <-s.nextArrival():
			s.acceptClient(nc, false)
		default:
			return
		}
	}
}

const auditEvery = 30 // seconds: some hundred promises of a busy team

// everySecond closes connections to engines that were idle for long, and says when the name server is missing.
func (s *service) everySecond() {
	s.at(s.clock.now())
	s.pool.Tidy()
	s.logCounts()
	s.detectStall(s.readyServers())
	if s.seconds++; s.seconds%auditEvery == 0 {
		s.Audit()
	}
	const maxSilence = 3 // seconds: thirty questions with no answer are no chance
	if now := s.clock.now(); !s.nameServerSilent && now-s.lastAnswerAt > maxSilence {
		s.nameServerSilent = true
		s.log.Warn("the name server does not answer", zap.Uint32("rev", s.list.Rev()))
	}
}

func (s *service) dial(addr netip.AddrPort, sink transport.Sink) backends.Line {
	// A hundred statements; an engine that takes nothing for longer is as good as silent.
	const maxOutput = 4 << 20
	conn := s.net.New(sink, maxOutput)
	conn.Whole() // an engine that closes its side reads nothing any more
	conn.Dial(addr.String(), time.Duration(s.cfg.Settings.ConnectTimeout*1e9))
	return conn
}
