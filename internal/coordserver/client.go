package coordserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
)

// Client sends requests to coordinators, and to the leader as far as it is known.
type Client struct {
	http   *http.Client
	mu     sync.Mutex
	finder *agent.Finder

	addrs []string

	requestCount, bytes atomic.Int64
	byPath              sync.Map // path to *pathTraffic; the paths are those of the server's routes
}

// Dial opens one connection of a client.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// pathTraffic counts the requests of one path, and the bytes of their bodies in both directions.
type pathTraffic struct{ requests, bytes atomic.Int64 }

// PathTraffic is the traffic of one path: the number of requests, and the bytes of their bodies in both directions
// without headers.
type PathTraffic struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// Traffic returns the number of requests so far, and the bytes on connections in both directions.
func (c *Client) Traffic() (requestCount, bytes int64) { return c.requestCount.Load(), c.bytes.Load() }

// TrafficByPath returns the traffic so far of each path that was requested.
func (c *Client) TrafficByPath() map[string]PathTraffic {
	all := map[string]PathTraffic{}
	c.byPath.Range(func(path, value any) bool {
		t := value.(*pathTraffic)
		all[path.(string)] = PathTraffic{Requests: t.requests.Load(), Bytes: t.bytes.Load()}
		return true
	})
	return all
}

// pathCounter returns the counter of a path.
func (c *Client) pathCounter(path string) *pathTraffic {
	if t, ok := c.byPath.Load(path); ok {
		return t.(*pathTraffic)
	}
	t, _ := c.byPath.LoadOrStore(path, &pathTraffic{})
	return t.(*pathTraffic)
}

// countingReader counts the bytes read from a body.
type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

// countingConn is a connection that counts its bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// dialer returns a dialer whose connections come from an address. If it is empty the system chooses the address.
func dialer(from string) *net.Dialer {
	const connect = 500 * time.Millisecond // some thousand round trips on a private network
	d := &net.Dialer{Timeout: connect}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewClient returns a client of the coordinators at these addresses. Its connections come from the address from, or
// from one that the system chooses if from is empty.
func NewClient(addrs []string, from string) *Client {
	return NewClientWithDial(addrs, dialer(from).DialContext)
}

// NewClientWithDial is NewClient with connections opened by dial.
func NewClientWithDial(addrs []string, dial Dial) *Client {
	c := &Client{addrs: addrs, finder: agent.NewFinder(addrs, int(time.Now().UnixNano()&0xffff))}
	c.http = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &c.bytes}, nil
		}}}
	return c
}

// leaderAddr returns the address of the presumed leader.
func (c *Client) leaderAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finder.Target()
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call requests one path, with GET if in is nil and POST otherwise. While coordinators redirect it to another one, or
// do not answer, it tries again a few times.
func (c *Client) Call(ctx context.Context, path string, in, out any) (err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	for range len(c.addrs) + 2 {
		addr := c.leaderAddr()
		var leader string
		if leader, err = c.callOnce(ctx, addr, path, body, out); err == nil {
			return nil
		}
		c.mu.Lock()
		switch {
		case errors.Is(err, coordinator.ErrNotLeader):
			c.finder.Redirect(addr, leader)
		case errors.Is(err, agent.ErrNoAnswer):
			c.finder.Failed(addr)
		default:
			c.mu.Unlock()
			return err
		}
		c.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

// callOnce sends one request to one coordinator. leader is the address of the leader that the coordinator names, if any.
func (c *Client) callOnce(ctx context.Context, addr, path string, body []byte, out any) (leader string, err error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	c.requestCount.Add(1)
	pathCounter := c.pathCounter(path)
	pathCounter.requests.Add(1)
	pathCounter.bytes.Add(int64(len(body)))
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("%w: %v", agent.ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	respBody := countingReader{io.LimitReader(resp.Body, maxBody), &pathCounter.bytes}
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(respBody).Decode(out); err != nil {
			return "", fmt.Errorf("%w: %v", agent.ErrNoAnswer, err)
		}
		io.Copy(io.Discard, respBody)
		return "", nil
	}
	var fault ErrorResponse
	if err := json.NewDecoder(respBody).Decode(&fault); err != nil {
		return "", fmt.Errorf("%w: %s", agent.ErrNoAnswer, resp.Status)
	}
	io.Copy(io.Discard, respBody)
	if resp.StatusCode == http.StatusServiceUnavailable {
		return "", fmt.Errorf("%w: %s", agent.ErrNoAnswer, fault.Text)
	}
	return fault.Leader, fault.Err()
}

// statusTimeout bounds a status request, which needs no quorum.
const statusTimeout = time.Second

// Statuses returns each coordinator's own status, nil for one that does not answer within a second.
func (c *Client) Statuses(ctx context.Context, addrs []string) []*coordinator.Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := make([]*coordinator.Status, len(addrs))
	var group sync.WaitGroup
	for n, addr := range addrs {
		group.Go(func() {
			if st, err := fetchStatus(ctx, c.http, addr); err == nil {
				statuses[n] = &st
			}
		})
	}
	group.Wait()
	return statuses
}
