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

// clock gives Unix time in seconds that never goes back. The start times of servers are reported in Unix seconds too.
type clock struct {
	start time.Time
	unix  float64
}

func newClock() clock {
	now := time.Now()
	return clock{now, float64(now.UnixMicro()) / 1e6}
}

func (c clock) now() float64 { return c.unix + time.Since(c.start).Seconds() }

// inboxSize is how many readers' entries may wait for the owner.
const inboxSize = 256

// Fleet connects the router to the fleet (internal/agentdriver implements it). Its methods don't block. They are called by the owner's
// goroutine, or before that starts.
type Fleet interface {
	admission.Fleet
	Plan() admission.Plan                               // nil: there is no plan
	Run(ctx context.Context, group *errgroup.Group)     // starts goroutines that end with the context
	News() <-chan func()                                // functions that the owner's goroutine must call
	Tick(now float64, controller *admission.Controller) // called about ten times a second
	End(now float64)                                    // releases the tasks immediately
}

// service is a Router with its sockets.
type service struct {
	*Router
	cfg              config.Config
	clock            clock
	log              *zap.Logger
	list             *discovery.Follower
	net              *transport.Network
	inbox            transport.Inbox
	arrivals         chan net.Conn
	acceptDone       chan struct{} // closed when no more connections will arrive
	answers          chan datagram
	querySockets     querySockets // to the current name server
	group            *errgroup.Group
	ctx              context.Context
	sessions         map[*frontend.Session]struct{}
	lastSerial       uint64 // number of client connections so far
	clientArrivals   arrivalState
	limits           descriptorLimits // computed once, by the method descriptorLimits
	scratch          []byte           // buffer for building answers
	ticks            int
	seconds          int           // seconds since the start
	answerPending    bool          // the last query has no answer yet
	lastAnswerAt     float64       // time of the name server's last answer
	nameServerSilent bool          // it does not answer, which has been logged
	answerFault      repeatedFault // of its last answers
	fleet            Fleet         // nil: none
	state            State         // nil: none
	subset           *subsetView   // nil: the controller sees the whole list
}

// Serve runs a router until the context is cancelled, which stops it immediately, or stop is closed, which stops it once all requests are
// answered. It applies those parts of a reloaded configuration that can change at run time.
func Serve(ctx context.Context, stop <-chan struct{}, reloaded <-chan config.Config, cfg config.Config, fleet Fleet, state State, log *zap.Logger) error {
	s := &service{fleet: fleet, state: state, cfg: cfg, clock: newClock(), log: log, list: discovery.New(cfg.Settings.Zones, cfg.Settings.Kinds),
		inbox: make(transport.Inbox, inboxSize), arrivals: make(chan net.Conn), acceptDone: make(chan struct{}), answers: make(chan datagram),
		sessions: map[*frontend.Session]struct{}{}}
	if _, err := s.list.ApplyConfig(cfg.Known); err != nil {
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
	limits := s.descriptorLimits()
	budgets := divideMemory(memory, limits.clients+limits.rejecting)
	s.net = transport.NewNetwork(ctx, group, s.inbox, budgets.output, limits.lingering)
	s.net.PauseDialedAbove(budgets.results)
	s.Router = New(cfg.Settings, int(budgets.statements), log, s.list.Name)
	s.LimitResults(budgets.results, s.net)
	if len(cfg.Budgets.Nodes) > 0 {
		teams, err := fairshare.New(cfg.Budgets, s.clock.now())
		if err != nil {
			return err
		}
		s.SetTeams(teams, cfg.Budgets.Ageing)
	}
	if s.subset, err = newSubsetView(&cfg, s.list.Name, log); err != nil {
		return err
	}
	if w := cfg.Operator.Waits; w != nil {
		s.SetWaits(waittime.New(len(cfg.Settings.Profiles), cfg.Settings.Admission.MaxPause), w.SendWaits)
	}
	if fleet != nil {
		s.Router.SetFleet(fleet, fleet.Plan())
		fleet.Run(ctx, group)
	}
	if state != nil {
		state.Recall(s.Router)
		state.Run(ctx, group)
	}
	group.Go(func() error { return s.accept(listener) })
	if err := s.useNameServer(cfg.NameServer); err != nil {
		cancel()
		listener.Close()
		group.Wait()
		return fmt.Errorf("name server: %v", err)
	}
	group.Go(func() error {
		defer cancel()
		defer s.querySockets.close()
		defer listener.Close()
		return s.runOwner(stop, reloaded, listener)
	})
	return group.Wait()
}

// connectionCost is how much time a connection takes that sends a few requests and ends, as a multiple of the time until the owner has taken it.
const connectionCost = 4

// accept passes client connections to the owner until the listener's deadline, and then those that the kernel had accepted by then. When
// descriptors run out it waits and tries again.
func (s *service) accept(l *net.TCPListener) error {
	defer close(s.acceptDone)
	defer l.Close()
	var backlog acceptBacklog
	pace := s.net.NewPace()
	defer pace.End()
	for {
		nc, err := l.Accept()
		acceptedAt := time.Now()
		pace.Input(acceptedAt)
		switch {
		case err == nil:
			backlog.accepted = true
			select {
			case s.arrivals <- nc:
				pace.Pause(connectionCost * time.Since(acceptedAt))
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
			case <-time.After(20 * time.Millisecond): // until some connection has ended
			case <-s.ctx.Done():
				return nil
			}
		}
	}
}

// reload applies the parts of a new configuration that can change at run time: the name server, the list of servers and parts of the
// operator's file. It logs which other parts have changed; those keep their old values until a restart.
func (s *service) reload(c config.Config) {
	settings := c.Settings
	settings.Admission.Seed = s.cfg.Settings.Admission.Seed // the seed is drawn anew on each load, which is no change
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
	if updated, err := s.list.ApplyConfig(c.Known); err != nil {
		s.log.Error("list of servers in the new configuration is invalid", zap.Error(err))
	} else if updated {
		s.publishList(admission.Full)
	}
	if c.NameServer != s.cfg.NameServer {
		if err := s.useNameServer(c.NameServer); err != nil {
			s.log.Error("can't open a socket to the new name server", zap.Error(err))
			return
		}
	}
	s.sendQuestion()
	s.log.Info("new configuration", zap.Stringer("nameserver", c.NameServer), zap.Strings("kept until a restart", kept))
}

// reloadOperatorFile applies the parts of the operator's file that can change at run time, and returns the names of the others.
func (s *service) reloadOperatorFile(c config.Config) (kept []string) {
	previous, current := s.cfg.Operator, c.Operator
	switch {
	case (len(c.Budgets.Nodes) == 0) != (s.teams == nil):
		kept = append(kept, "teams") // requests in progress were admitted with teams, or without
	case s.teams != nil:
		if err := s.teams.Reconfigure(c.Budgets); err != nil {
			s.log.Error("teams of the new configuration are invalid", zap.Error(err))
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
		s.reportWaits = current.Waits.SendWaits
	}
	return kept
}

// runOwner is the owner's goroutine.
func (s *service) runOwner(stop <-chan struct{}, reloaded <-chan config.Config, listener *net.TCPListener) error {
	pool := backends.New(s.Router, backends.Limits{StreamsPerConn: max(s.cfg.Settings.MaxStreams, 1), MaxConns: s.descriptorLimits().servers,
		IdleTimeout: s.cfg.Settings.ConnIdle,
		// A server sends an answer in one go: if it pauses for longer than a connect takes, the answer will not be completed.
		StallTimeout: s.cfg.Settings.ConnectTimeout}, s.dial)
	s.lastAnswerAt = s.clock.now()
	s.Router.Start(s.lastAnswerAt, pool)
	s.DetectOwnerDelay()
	s.publishList(admission.Cached)
	if s.state != nil {
		defer s.state.End(s.Router)
	}
	defer s.closePending()
	s.log.Info("serving", zap.String("name", s.cfg.Name), zap.Stringer("listen", s.cfg.Listen),
		zap.Int("engines", len(s.list.List())))

	// Routers count as informed of an event 1.5 s after it happened, even if they had no answer. A query every third tick learns of it
	// well before; while a query is unanswered each tick sends another, so that a dozen may be lost.
	const tickInterval, queryEvery = backends.DropStalledInterval * 1000 * time.Millisecond, 3
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
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
		case <-ticker.C:
			s.at(s.clock.now())
			if s.fleet != nil {
				s.fleet.Tick(s.now, s.controller)
			}
			if s.state != nil {
				s.state.Tick(s.clock.now(), s.Router)
			}
			s.reviewSubset()
			s.pool.DropStalled()
			s.pool.ReportEnds()
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
			s.handleAnswer(msg)
		case c := <-reloaded:
			s.reload(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			s.End()
			if s.fleet != nil {
				s.fleet.End(s.clock.now())
			}
			s.log.Info("asked to end", zap.Int("owed", s.Unanswered()))
			// Clients still connect for 0.6 s after the signal. Requests that arrive up to 0.7 s after it are served.
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

// closeFrontend stops taking requests, after those that have already arrived.
func (s *service) closeFrontend(listener *net.TCPListener) {
	s.drainInbox()
	// Connections that the kernel has accepted by now are taken and rejected: they would be reset if the listener were closed.
	const acceptTimeout = 20 * time.Millisecond
	listener.SetDeadline(time.Now().Add(acceptTimeout))
	for c := range s.sessions {
		c.CloseWhenIdle(frontend.RouterStopping)
	}
}

// drainInbox processes the input that has arrived so far, and no more than the inbox can hold.
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

const auditEvery = 30 // seconds, in which a busy team gets some hundred estimates

// everySecond closes idle connections to servers, writes the periodic log lines and detects a name server that does not answer.
func (s *service) everySecond() {
	s.at(s.clock.now())
	s.pool.CloseIdle()
	s.logCounts()
	s.detectStall(s.readyServers())
	if s.seconds++; s.seconds%auditEvery == 0 {
		s.Audit()
	}
	const maxSilence = 3 // seconds: thirty queries without an answer are no chance
	if now := s.clock.now(); !s.nameServerSilent && now-s.lastAnswerAt > maxSilence {
		s.nameServerSilent = true
		s.log.Warn("the name server does not answer", zap.Uint32("rev", s.list.Revision()))
	}
}

// dial starts a connection to a server.
func (s *service) dial(addr netip.AddrPort, sink transport.Sink) backends.Connection {
	// A hundred statements. A server that reads none of them is as good as silent.
	const maxOutput = 4 << 20
	conn := s.net.New(sink, maxOutput)
	conn.EndWithPeer() // a server that closes its sending side does not read any more either
	conn.Dial(addr.String(), time.Duration(s.cfg.Settings.ConnectTimeout*1e9))
	return conn
}
