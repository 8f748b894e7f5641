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

// Client asks keepers: whoever leads, as far as that is known.
type Client struct {
	http *http.Client
	mu   sync.Mutex
	find *agent.Finder

	addrs []string

	calls, bytes atomic.Int64
	kinds        sync.Map // path to *pathTraffic; the paths are those of the server's routes
}

// Dial opens one connection of a client.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// pathTraffic counts the requests of one path, and the bytes of their bodies both ways.
type pathTraffic struct{ requests, bytes atomic.Int64 }

// PathTraffic is what one kind of request came to: whole requests, and bytes of bodies both ways without headers.
type PathTraffic struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"`
}

// Traffic so far: calls, and bytes both ways.
func (c *Client) Traffic() (calls, bytes int64) { return c.calls.Load(), c.bytes.Load() }

// TrafficByPath is the traffic so far of each path that was asked for.
func (c *Client) TrafficByPath() map[string]PathTraffic {
	all := map[string]PathTraffic{}
	c.kinds.Range(func(path, value any) bool {
		t := value.(*pathTraffic)
		all[path.(string)] = PathTraffic{Requests: t.requests.Load(), Bytes: t.bytes.Load()}
		return true
	})
	return all
}

// kind is the counter of a path.
func (c *Client) kind(path string) *pathTraffic {
	if t, ok := c.kinds.Load(path); ok {
		return t.(*pathTraffic)
	}
	t, _ := c.kinds.LoadOrStore(path, &pathTraffic{})
	return t.(*pathTraffic)
}

// countedReader counts what is read of a body.
type countedReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (r countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// dialer of connections that come from an address, "": the system's choice.
func dialer(from string) *net.Dialer {
	const connect = 500 * time.Millisecond // on a private network: some thousand ways
	d := &net.Dialer{Timeout: connect}
	if ip := net.ParseIP(from); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// NewClient of keepers at these addresses.
func NewClient(addrs []string, from string) *Client {
	return NewClientOver(addrs, dialer(from).DialContext)
}

// NewClientOver is NewClient with connections of the caller's making.
func NewClientOver(addrs []string, dial Dial) *Client {
	c := &Client{addrs: addrs, find: agent.NewFinder(addrs, int(time.Now().UnixNano()&0xffff))}
	c.http = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return counted{conn, &c.bytes}, nil
		}}}
	return c
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find.Target()
}

// Close its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call one path; in nil: GET. It asks on while keepers send it to another, a few times.
func (c *Client) Call(ctx context.Context, path string, in, out any) (err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	for range len(c.addrs) + 2 {
		at := c.target()
		var leader string
		if leader, err = c.once(ctx, at, path, body, out); err == nil {
			return nil
		}
		c.mu.Lock()
		switch {
		case errors.Is(err, coordinator.ErrNotLeader):
			c.find.Redirect(at, leader)
		case errors.Is(err, agent.ErrNoAnswer):
			c.find.Failed(at)
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

func (c *Client) once(ctx context.Context, at, path string, body []byte, out any) (leader string, err error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	c.calls.Add(1)
	kind := c.kind(path)
	kind.requests.Add(1)
	kind.bytes.Add(int64(len(body)))
	resp, err := c.http.Do(req)
	if err != nil {
		return "", fmt.Errorf("%w: %v", agent.ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	text := countedReader{io.LimitReader(resp.Body, mostBody), &kind.bytes}
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(text).Decode(out); err != nil {
			return "", fmt.Errorf("%w: %v", agent.ErrNoAnswer, err)
		}
		io.Copy(io.Discard, text)
		return "", nil
	}
	var f Fault
	if err := json.NewDecoder(text).Decode(&f); err != nil {
		return "", fmt.Errorf("%w: %s", agent.ErrNoAnswer, resp.Status)
	}
	io.Copy(io.Discard, text)
	if resp.StatusCode == http.StatusServiceUnavailable {
		return "", fmt.Errorf("%w: %s", agent.ErrNoAnswer, f.Text)
	}
	return f.Leader, f.Err()
}

// statusWait is how long a coordinator has for its status, which takes no agreement.
const statusWait = time.Second

// Each keeper's own word on itself, nil where it does not answer within a second.
func (c *Client) Each(ctx context.Context, addrs []string) []*coordinator.Status {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	all := make([]*coordinator.Status, len(addrs))
	var wait sync.WaitGroup
	for n, a := range addrs {
		wait.Go(func() {
			if st, err := askStatus(ctx, c.http, a); err == nil {
				all[n] = &st
			}
		})
	}
	wait.Wait()
	return all
}
