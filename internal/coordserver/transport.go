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

// transport carries raft's messages between keepers: POST /raft/RECORD, each message with its length before it.
type transport struct {
	ctx   context.Context
	group *errgroup.Group
	id    Identity
	s     *server
	to    map[uint64]*peer
	index uint64
}

// peer is a keeper that messages go to. Its goroutine ends with the keeper, or when the peer has left.
type peer struct {
	addr string
	box  chan []*pb.Message // a few batches: raft sends again what is lost
	stop context.CancelFunc
}

const boxes = 16

func newTransport(ctx context.Context, group *errgroup.Group, id Identity, s *server) *transport {
	return &transport{ctx: ctx, group: group, id: id, s: s, to: map[uint64]*peer{}}
}

// peers follows the record's list.
func (t *transport) peers(r *registry.Registry) {
	if r.Index() == t.index && len(t.to) > 0 {
		return
	}
	t.index = r.Index()
	for id, p := range t.to {
		if k := r.Coordinator(id); k == nil && len(r.Coordinators()) > 0 || k != nil && k.Addr != p.addr {
			p.stop()
			delete(t.to, id)
		}
	}
	for _, k := range r.Coordinators() {
		t.add(k.ID, k.Addr)
	}
}

func (t *transport) add(id uint64, addr string) *peer {
	if id == t.id.ID || t.to[id] != nil {
		return t.to[id]
	}
	ctx, stop := context.WithCancel(t.ctx)
	p := &peer{addr: addr, box: make(chan []*pb.Message, boxes), stop: stop}
	t.to[id] = p
	t.group.Go(func() error {
		t.post(ctx, id, p)
		return nil
	})
	return p
}

// withMore appends to a batch all that waits for the peer by now.
func (p *peer) withMore(batch []*pb.Message) []*pb.Message {
	for {
		select {
		case b := <-p.box:
			batch = append(batch, b...)
		default:
			return batch
		}
	}
}

// encode writes messages behind their lengths, and tells whether a snapshot is among them.
func encode(batch []*pb.Message) (body []byte, snap bool) {
	for _, m := range batch {
		text, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(text)))
		body = append(body, text...)
		snap = snap || m.GetType() == pb.MsgSnap
	}
	return body, snap
}

// send messages; what finds no room is lost, as on any network.
func (t *transport) send(all []*pb.Message, k *coordinator.Coordinator) {
	by := map[uint64][]*pb.Message{}
	for _, m := range all {
		by[m.GetTo()] = append(by[m.GetTo()], m)
	}
	for id, batch := range by {
		p := t.peerOf(id)
		if p == nil {
			continue
		}
		select {
		case p.box <- batch:
		default:
			k.ReportUnreachable(id)
			for _, m := range batch {
				if m.GetType() == pb.MsgSnap {
					k.ReportSnapshot(id, false)
				}
			}
		}
	}
}

// peerOf is the peer of an id, nil: there is none.
func (t *transport) peerOf(id uint64) *peer {
	p := t.to[id]
	if p == nil { // a coordinator that joins knows the others by its folder only
		for _, x := range t.id.Peers {
			if x.ID == id {
				p = t.add(id, x.Addr)
			}
		}
	}
	return p
}

func (t *transport) post(ctx context.Context, id uint64, p *peer) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DialContext: dialer(t.s.from).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for {
		var batch []*pb.Message
		select {
		case batch = <-p.box:
		case <-ctx.Done():
			return
		}
		body, snap := encode(p.withMore(batch))
		err := t.deliver(ctx, client, p.addr, body)
		if ctx.Err() != nil {
			return
		}
		if err != nil || snap {
			select {
			case t.s.inbox <- func(float64) {
				if err != nil {
					t.s.k.ReportUnreachable(id)
				}
				if snap {
					t.s.k.ReportSnapshot(id, err == nil)
				}
			}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (t *transport) deliver(ctx context.Context, c *http.Client, addr string, body []byte) error {
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

// receive another keeper's messages.
func (t *transport) receive(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("record") != t.id.Token {
		http.Error(w, "another record", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostRaft))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var all []*pb.Message
	for len(body) > 0 {
		if len(body) < 4 || uint64(binary.BigEndian.Uint32(body)) > uint64(len(body)-4) {
			http.Error(w, "cut short", http.StatusBadRequest)
			return
		}
		n := binary.BigEndian.Uint32(body)
		m := &pb.Message{}
		if err := proto.Unmarshal(body[4:4+n], m); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if m.GetTo() == t.id.ID { // one for a keeper that had this address before is not for us
			all = append(all, m)
		}
		body = body[4+n:]
	}
	from, reads := number(r.Header.Get("Keeper")), number(r.Header.Get("Reads"))
	select {
	case t.s.inbox <- func(now float64) {
		if t.s.k == nil {
			return
		}
		for _, m := range all {
			t.s.k.Step(now, m)
		}
		t.s.k.ReportVersion(from, uint16(reads))
	}:
		w.WriteHeader(http.StatusNoContent)
	case <-t.ctx.Done():
	}
}
