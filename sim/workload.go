// Callers of a real fleet: over HTTP, each request on a connection of its own,
// to gateways that say they are ready; the same job is sent again wherever the
// answer was lost, when the answer says so.
package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Workload is all callers of a fleet.
type Workload struct {
	f       *Fleet
	rnd     *rand.Rand
	mu      sync.Mutex
	next    int
	open    atomic.Bool
	ready   atomic.Pointer[[]*proc]
	client  *http.Client
	work    sync.WaitGroup
	Cancel  float64
	Speed   float64
	Takes   []float64 // ms from sending to acceptance
	Ends    []float64 // ms from sending to done, as seen
	Denials map[apierror.Kind]int
	Drops   atomic.Int64
	slots   chan struct{}
}

func NewWorkload(f *Fleet, seed int64, speed float64) *Workload {
	s := &Workload{f: f, rnd: rand.New(rand.NewSource(seed)), client: server.Client("127.0.9.1", 4*time.Second), Cancel: 0.04,
		Speed: speed, Denials: map[apierror.Kind]int{}, slots: make(chan struct{}, 3000)}
	s.client.Transport.(*http.Transport).DisableKeepAlives = true
	list := f.of("gateway")
	s.ready.Store(&list)
	s.open.Store(true)
	return s
}

// Watch keeps the list of ready gateways, as the platform does.
func (s *Workload) Watch() {
	for s.f.ctx.Err() == nil {
		var list []*proc
		for _, p := range s.f.of("gateway") {
			var v any
			if !p.down.Load() && !p.ice.Load() && s.f.page(p, "/ready", &v) == nil {
				list = append(list, p)
			}
		}
		if len(list) > 0 {
			s.ready.Store(&list)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *Workload) chance(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Intn(n)
}

func (s *Workload) gateway() *proc {
	list := *s.ready.Load()
	return list[s.chance(len(list))]
}

// Flow sends jobs of one shape until the workload is closed.
func (s *Workload) Flow(fl Flow) {
	s.work.Add(1)
	defer s.work.Done()
	for s.open.Load() {
		gap := float64(fl.Every) / s.Speed
		time.Sleep(time.Duration((0.5 + float64(s.chance(1000))/1000) * gap))
		s.mu.Lock()
		s.next++
		id := types.JobID(fmt.Sprintf("%s-%d", fl.Queue, s.next))
		spec := fl.Spec(s.rnd)
		s.mu.Unlock()
		select {
		case s.slots <- struct{}{}:
			s.f.Tell(HistoryEvent{What: Sent, Job: id, Spec: &spec})
			s.work.Add(1)
			go func() {
				defer s.work.Done()
				defer func() { <-s.slots }()
				s.job(id, wire.Body(spec))
			}()
		default:
		}
	}
}

// try asks once. A request that was taken up and got no answer from a gateway
// that nobody killed is a drop.
func (s *Workload) try(method, path string, body []byte) (code int, b []byte) {
	g := s.gateway()
	req, err := http.NewRequestWithContext(s.f.ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, s.f.Port, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	res, err := s.client.Do(req)
	if err == nil {
		defer res.Body.Close()
		b, err = io.ReadAll(res.Body)
		code = res.StatusCode
	}
	if err != nil {
		if (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && !g.down.Load() && !g.ice.Load() {
			s.Drops.Add(1)
			s.f.Tell(HistoryEvent{What: Dropped, Who: g.name, Text: err.Error()})
		}
		return 0, nil
	}
	return
}

func (s *Workload) job(id types.JobID, body []byte) {
	from := time.Now()
	for n := 0; ; n++ {
		code, b := s.try(http.MethodPut, "/v1/jobs/"+string(id), body)
		if code == 200 || code == 201 {
			break
		}
		if n > 60 || s.f.ctx.Err() != nil || !s.later(code, b) {
			s.f.Tell(HistoryEvent{What: Denied, Job: id, Text: string(b)})
			return
		}
	}
	s.f.Tell(HistoryEvent{What: Accepted, Job: id})
	s.message(&s.Takes, from)
	if s.chance(1000) < int(s.Cancel*1000) {
		time.Sleep(time.Duration(s.chance(2000)) * time.Millisecond)
		for range 20 {
			code, b := s.try(http.MethodPost, "/v1/jobs/"+string(id)+"/cancel", nil)
			if code == 200 || code == 202 {
				s.f.Tell(HistoryEvent{What: Halt, Job: id})
				break
			}
			if !s.later(code, b) {
				break
			}
		}
	}
	for s.f.ctx.Err() == nil {
		time.Sleep(150*time.Millisecond + time.Duration(s.chance(150))*time.Millisecond)
		code, b := s.try(http.MethodGet, "/v1/jobs/"+string(id), nil)
		var v controller.JobView
		switch {
		case code == 404:
			s.f.Tell(HistoryEvent{What: Missed, Job: id})
			return
		case code != 200 || json.Unmarshal(b, &v) != nil:
			s.later(code, b)
			continue
		}
		if v.State == "done" || v.State == "failed" || v.State == "cancelled" {
			s.f.Tell(HistoryEvent{What: Saw, Job: id, Stage: v.State, Text: v.Why})
			if v.State == "done" {
				s.message(&s.Ends, from)
			}
			return
		}
	}
}

// later waits as an answer says, and tells whether to ask again at all.
func (s *Workload) later(code int, b []byte) bool {
	var f apierror.Error
	if code == 0 {
		time.Sleep(100 * time.Millisecond)
		return true
	}
	json.Unmarshal(b, &f)
	s.mu.Lock()
	s.Denials[f.Kind]++
	s.mu.Unlock()
	if code != 503 && code != 429 {
		return false
	}
	time.Sleep(time.Duration(max(f.Retry, 1)) * time.Second)
	return true
}

func (s *Workload) message(to *[]float64, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, float64(time.Since(from).Microseconds())/1000)
}

// Put puts a table until it is taken or refused; it gives the version.
func (s *Workload) Put(t config.Table) (types.Version, error) {
	s.f.Tell(HistoryEvent{What: TableTry, Table: &t})
	for range 60 {
		code, b := s.try(http.MethodPut, "/v1/table", wire.Body(t))
		if code == 200 {
			got := t.Next()
			s.f.Tell(HistoryEvent{What: TableAck, Table: &got})
			return got.Version, nil
		}
		if !s.later(code, b) {
			s.f.Tell(HistoryEvent{What: TableNo, Table: &t, Text: string(b)})
			return 0, fmt.Errorf("table refused: %s", b)
		}
	}
	return 0, errors.New("the table was never taken")
}

// Races has two operators put different tables on one version, now and then.
func (s *Workload) Races() {
	s.work.Add(1)
	defer s.work.Done()
	for s.open.Load() {
		time.Sleep(3 * time.Second)
		var t config.Table
		began := strconv.FormatInt(time.Since(s.f.start).Nanoseconds(), 10)
		code, b := s.try(http.MethodGet, "/v1/table", nil)
		if code != 200 || json.Unmarshal(b, &t) != nil || len(t.Rows) < 2 {
			continue
		}
		s.f.Tell(HistoryEvent{What: TableSaw, Table: &t, Text: began})
		var two sync.WaitGroup
		for range 2 {
			n := config.Table{Version: t.Version, Rows: append([]config.Row(nil), t.Rows...)}
			n.Rows[0].Weight = 1 + s.chance(900)
			two.Add(1)
			go func() { defer two.Done(); s.Put(n) }()
		}
		two.Wait()
	}
}

// Close sends no more jobs and waits for those under way to be seen ended.
func (s *Workload) Close(limit time.Duration) bool {
	s.open.Store(false)
	done := make(chan struct{})
	go func() { s.work.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
