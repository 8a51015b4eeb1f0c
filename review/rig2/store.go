package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	rowID struct{ table, part, key string }

	storeRow struct {
		value string
		ver   uint64
	}

	change struct {
		id      rowID
		value   string
		ver     uint64
		deleted bool
		at      time.Time
	}

	// storeFaults are the faults of one listener of the store, which one daemon uses.
	storeFaults struct {
		silent, busy bool
		slow         float64
		// lose is the share of transactions without an answer. Those that are late are
		// carried out 1 to 6 s later if their condition still holds.
		lose float64
		late bool
	}

	// store is the platform's store. It has one listener for each daemon.
	store struct {
		mu      sync.Mutex
		rows    map[rowID]storeRow
		ver     uint64
		changes []change
		floor   uint64
		wake    chan struct{}
		txLock  sync.Mutex
		faults  map[int]storeFaults
		// writer is the daemon that last wrote under a condition.
		writer int
		// down is set during an outage, also for the workers.
		down bool
		// beats holds when each worker last wrote its entry.
		beats map[string]time.Time
		begun time.Time
	}
)

const (
	answerTime  = 4 * time.Millisecond
	txTime      = 6 * time.Millisecond
	pageRows    = 500
	pageBytes   = 1 << 20
	retention   = 20 * time.Second
	maxRowBytes = 65536
	heartbeat   = 1500 * time.Millisecond
)

func newStore() *store {
	return &store{rows: map[rowID]storeRow{}, wake: make(chan struct{}), faults: map[int]storeFaults{}, beats: map[string]time.Time{}, writer: -1, begun: time.Now()}
}

func (s *store) listen(daemon int) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go func() { _ = (&http.Server{Handler: s.handler(daemon)}).Serve(l) }()
	return l.Addr().String()
}

func (s *store) setFaults(daemon int, f storeFaults) {
	s.mu.Lock()
	s.faults[daemon] = f
	s.mu.Unlock()
}

func (s *store) fault(daemon int) storeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[daemon]
}

func (s *store) lastWriter() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// setOutage begins or ends an outage of the store for all.
func (s *store) setOutage(daemons []*daemon, down bool) {
	for _, d := range daemons {
		s.setFaults(d.index, storeFaults{silent: down})
	}
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// beat writes the entry of a worker. It returns false during an outage.
func (s *store) beat(id string, entry object) bool {
	s.mu.Lock()
	down := s.down
	if !down {
		s.beats[id] = time.Now()
	}
	s.mu.Unlock()
	if !down {
		s.put("servers", id, entry)
	}
	return !down
}

// expire removes the entries of workers that have been silent for three intervals, also
// during an outage.
func (s *store) expire(sys *system) {
	for range time.Tick(20 * time.Millisecond) {
		var old []string
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				old = append(old, id)
				delete(s.beats, id)
			}
		}
		s.mu.Unlock()
		for _, id := range old {
			s.put("servers", id, nil)
			sys.event("the entry of worker %s expires", id)
		}
	}
}

// put writes a row of the operator or a worker; nil deletes it.
func (s *store) put(table, key string, v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	id := rowID{table, "", key}
	if v == nil {
		if _, ok := s.rows[id]; ok {
			s.set(id, "", true)
		}
	} else {
		data, _ := json.Marshal(v)
		s.set(id, base64.StdEncoding.EncodeToString(data), false)
	}
	s.notify()
}

func (s *store) set(id rowID, value string, deleted bool) {
	if deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = storeRow{value, s.ver}
	}
	s.changes = append(s.changes, change{id, value, s.ver, deleted, time.Now()})
}

func (s *store) notify() {
	n := 0
	for n < len(s.changes) && time.Since(s.changes[n].at) > retention {
		s.floor = s.changes[n].ver
		n++
	}
	s.changes = s.changes[n:]
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) compact() {
	s.mu.Lock()
	s.changes, s.floor = nil, s.ver
	s.mu.Unlock()
}

func (s *store) handler(daemon int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f := s.fault(daemon)
		switch {
		case f.silent:
			hang(r)
			return
		case f.busy:
			w.WriteHeader(503)
			return
		}
		scale := max(f.slow, 1)
		pause(time.Duration(float64(answerTime) * scale / 2))
		switch r.URL.Path {
		case wire.Tx:
			s.transact(w, r, body, daemon, f, scale)
		case wire.Get:
			pause(time.Duration(float64(answerTime) * scale / 2))
			s.get(w, r)
		case wire.Feed:
			s.feed(w, r, daemon)
		default:
			w.WriteHeader(404)
		}
	}
}

// hang leaves a call without an answer.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
	}
	panic(http.ErrAbortHandler)
}

func pause(d time.Duration) { time.Sleep(d) }

func rowIDOf(v any) rowID {
	o, _ := v.(object)
	return rowID{text(o, "table"), text(o, "part"), text(o, "key")}
}

func list(o object, key string) []any {
	l, _ := o[key].([]any)
	return l
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, body []byte, daemon int, f storeFaults, scale float64) {
	var tx object
	if json.Unmarshal(body, &tx) != nil || len(list(tx, wire.Expected))+len(list(tx, "writes"))+len(list(tx, "remove")) > 100 || len(body) > 1<<20 {
		w.WriteHeader(400)
		return
	}
	lost := rand.Float64() < f.lose
	if lost && f.late {
		go func() {
			pause(time.Second + time.Duration(rand.Int64N(int64(5*time.Second))))
			s.apply(tx, daemon)
		}()
		hang(r)
	}
	s.txLock.Lock()
	pause(time.Duration(float64(txTime) * scale))
	status, resp := s.apply(tx, daemon)
	s.txLock.Unlock()
	if lost {
		hang(r)
	}
	pause(time.Duration(float64(answerTime) * scale / 2))
	answer(w, status, resp)
}

func (s *store) apply(tx object, daemon int) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	var current []any
	for _, v := range list(tx, wire.Expected) {
		id := rowIDOf(v)
		row := s.rows[id]
		failed = failed || row.ver != uint64(number(v.(object), "ver"))
		if row.ver > 0 {
			current = append(current, rowObject(id, row.value, row.ver, false))
		}
	}
	if failed {
		return 412, s.stamp(object{"rows": current})
	}
	for _, v := range list(tx, "writes") {
		id := rowIDOf(v)
		if id.table == "op" || id.table == "servers" {
			return 403, object{}
		}
		if len(text(v.(object), "value")) > maxRowBytes/3*4+4 {
			return 400, object{}
		}
	}
	s.ver++
	for _, v := range list(tx, "writes") {
		s.set(rowIDOf(v), text(v.(object), "value"), false)
	}
	for _, v := range list(tx, "remove") {
		s.set(rowIDOf(v), "", true)
	}
	if len(list(tx, wire.Expected)) > 0 {
		s.writer = daemon
	}
	s.notify()
	return 200, s.stamp(object{})
}

func (s *store) stamp(o object) object {
	o["ver"], o["nowMs"] = s.ver, time.Since(s.begun).Milliseconds()
	return o
}

func rowObject(id rowID, value string, ver uint64, deleted bool) object {
	o := object{"table": id.table, "part": id.part, "key": id.key, "ver": ver}
	if deleted {
		o["tombstone"] = true
	} else {
		o["value"] = value
	}
	return o
}

func answer(w http.ResponseWriter, status int, o object) {
	data, _ := json.Marshal(o)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var ids []rowID
	for id := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].key < ids[j].key })
	rows, bytes, more := []any{}, 0, false
	for _, id := range ids {
		row := s.rows[id]
		if len(rows) >= limit || len(rows) > 0 && bytes+len(row.value) > pageBytes {
			more = true
			break
		}
		bytes += len(row.value)
		rows = append(rows, rowObject(id, row.value, row.ver, false))
	}
	resp := s.stamp(object{"rows": rows, "hasMore": more})
	s.mu.Unlock()
	answer(w, 200, resp)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, daemon int) {
	q := r.URL.Query()
	after := uint64(0)
	if v := q.Get(wire.After); v != "" {
		after, _ = strconv.ParseUint(v, 10, 64)
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(410)
			return
		}
		rows := []any{}
		for _, c := range s.changes {
			if c.ver > after && c.id.table == q.Get("table") {
				rows = append(rows, rowObject(c.id, c.value, c.ver, c.deleted))
			}
		}
		resp, wake := s.stamp(object{"rows": rows}), s.wake
		s.mu.Unlock()
		if len(rows) > 0 {
			if f := s.fault(daemon); f.silent {
				hang(r)
			}
			answer(w, 200, resp)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			if f := s.fault(daemon); f.silent {
				hang(r)
			}
			answer(w, 200, resp)
			return
		case <-r.Context().Done():
			return
		}
	}
}
