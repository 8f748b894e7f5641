package coordserver

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// transport carries raft messages between coordinators: POST /raft/TOKEN, with each message preceded by its length.
type transport struct {
	ctx           context.Context
	group         *errgroup.Group
	id            Identity
	srv           *server
	peers         map[uint64]*peer
	registryIndex uint64
}

// peer is a coordinator that messages are sent to. Its goroutine ends with this coordinator, or when the peer has left.
type peer struct {
	addr  string
	queue chan []*pb.Message // a few batches; raft sends lost messages again
	stop  context.CancelFunc
}

const peerQueueLength = 16

func newTransport(ctx context.Context, group *errgroup.Group, id Identity, srv *server) *transport {
	return &transport{ctx: ctx, group: group, id: id, srv: srv, peers: map[uint64]*peer{}}
}

// updatePeers follows the registry's list of coordinators.
func (t *transport) updatePeers(r *registry.Registry) {
	if r.Index() == t.registryIndex && len(t.peers) > 0 {
		return
	}
	t.registryIndex = r.Index()
	for id, p := range t.peers {
		if k := r.Coordinator(id); k == nil && len(r.Coordinators()) > 0 || k != nil && k.Addr != p.addr {
			p.stop()
			delete(t.peers, id)
		}
	}
	for _, k := range r.Coordinators() {
		t.addPeer(k.ID, k.Addr)
	}
}

func (t *transport) addPeer(id uint64, addr string) *peer {
	if id == t.id.ID || t.peers[id] != nil {
		return t.peers[id]
	}
	ctx, stop := context.WithCancel(t.ctx)
	p := &peer{addr: addr, queue: make(chan []*pb.Message, peerQueueLength), stop: stop}
	t.peers[id] = p
	t.group.Go(func() error {
		t.sendLoop(ctx, id, p)
		return nil
	})
	return p
}

// appendQueued appends to a batch everything that is queued for the peer.
func (p *peer) appendQueued(batch []*pb.Message) []*pb.Message {
	for {
		select {
		case b := <-p.queue:
			batch = append(batch, b...)
		default:
			return batch
		}
	}
}

// encodeMessages encodes messages, each preceded by its length, and reports whether a snapshot is among them.
func encodeMessages(batch []*pb.Message) (body []byte, hasSnapshot bool) {
	for _, m := range batch {
		data, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(data)))
		body = append(body, data...)
		hasSnapshot = hasSnapshot || m.GetType() == pb.MsgSnap
	}
	return body, hasSnapshot
}

// send queues messages for their peers. Messages that do not fit into a peer's queue are dropped, as on any network.
func (t *transport) send(messages []*pb.Message, coord *coordinator.Coordinator) {
	byPeer := map[uint64][]*pb.Message{}
	for _, m := range messages {
		byPeer[m.GetTo()] = append(byPeer[m.GetTo()], m)
	}
	for id, batch := range byPeer {
		p := t.peerByID(id)
		if p == nil {
			continue
		}
		select {
		case p.queue <- batch:
		default:
			coord.ReportUnreachable(id)
			for _, m := range batch {
				if m.GetType() == pb.MsgSnap {
					coord.ReportSnapshot(id, false)
				}
			}
		}
	}
}

// peerByID returns the peer of an ID, or nil if there is none.
func (t *transport) peerByID(id uint64) *peer {
	p := t.peers[id]
	if p == nil { // a coordinator that joins knows the others from its folder only
		for _, x := range t.id.Peers {
			if x.ID == id {
				p = t.addPeer(id, x.Addr)
			}
		}
	}
	return p
}

func (t *transport) sendLoop(ctx context.Context, id uint64, p *peer) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DialContext: dialer(t.srv.localAddr).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for {
		var batch []*pb.Message
		select {
		case batch = <-p.queue:
		case <-ctx.Done():
			return
		}
		body, hasSnapshot := encodeMessages(p.appendQueued(batch))
		err := t.postMessages(ctx, client, p.addr, body)
		if ctx.Err() != nil {
			return
		}
		if err != nil || hasSnapshot {
			select {
			case t.srv.funcs <- func(float64) {
				if err != nil {
					t.srv.coord.ReportUnreachable(id)
				}
				if hasSnapshot {
					t.srv.coord.ReportSnapshot(id, err == nil)
				}
			}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (t *transport) postMessages(ctx context.Context, c *http.Client, addr string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/raft/"+t.id.Token, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set("Keeper", strconv.FormatUint(t.id.ID, 10))
	req.Header.Set("Reads", strconv.Itoa(int(registry.Version)))
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusNoContent {
		return errors.New(resp.Status)
	}
	return nil
}

// receive handles the messages of another coordinator.
func (t *transport) receive(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("record") != t.id.Token {
		http.Error(w, "message of another registry", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRaftBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var messages []*pb.Message
	for len(body) > 0 {
		if len(body) < 4 || uint64(binary.BigEndian.Uint32(body)) > uint64(len(body)-4) {
			http.Error(w, "truncated message", http.StatusBadRequest)
			return
		}
		length := binary.BigEndian.Uint32(body)
		m := &pb.Message{}
		if err := proto.Unmarshal(body[4:4+length], m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if m.GetTo() == t.id.ID { // a message for a coordinator that had this address before is ignored
			messages = append(messages, m)
		}
		body = body[4+length:]
	}
	sender, readableVersion := toUint(r.Header.Get("Keeper")), toUint(r.Header.Get("Reads"))
	select {
	case t.srv.funcs <- func(now float64) {
		if t.srv.coord == nil {
			return
		}
		for _, m := range messages {
			t.srv.coord.Step(now, m)
		}
		t.srv.coord.ReportVersion(sender, uint16(readableVersion))
	}:
		w.WriteHeader(http.StatusNoContent)
	case <-t.ctx.Done():
	}
}
