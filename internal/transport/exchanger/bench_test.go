package exchanger

import (
	"net"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// fixedResponder sends the same response to every request on one connection, without parsing the request.
type fixedResponder struct {
	conn     net.Conn
	response []byte
}

func (r *fixedResponder) run() {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := r.conn.Read(buffer); err != nil {
			return
		}
		if _, err := r.conn.Write(r.response); err != nil {
			return
		}
	}
}

// BenchmarkAttempt measures one attempt over a pooled connection, with a response of a shard's typical size.
func BenchmarkAttempt(b *testing.B) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		r := &fixedResponder{
			conn:     conn,
			response: []byte(okResponse("1", string(make([]byte, 200)))),
		}
		r.run()
	}()
	e := newExchanger(4)
	call := &Call{
		ID:     "1",
		Method: "GET",
		Host:   "a.example",
		Path:   "/x/1",
	}
	target := Target{
		Replica: "r1",
		Service: "one",
		Address: socket.Addr().String(),
	}
	b.ReportAllocs()
	for b.Loop() {
		deadline := time.Now().Add(time.Second)
		if got := e.Do(NewExchange(deadline), call, target, deadline); got.Kind != scatterer.OutcomeReplied {
			b.Fatal(got)
		}
	}
}
