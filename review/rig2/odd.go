package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["odd"] = caseOdd }

// oddValues replace values of valid bodies.
var oddValues = []string{
	"null", "-1", "0", "1", "2", "1e400", "1e18", "9223372036854775807", "-9223372036854775808", "18446744073709551616", "0.5", `""`, `"x"`, "[]", "{}", "true",
	"[0]", "[1]", "[-1]", "[0,0]", "[9223372036854775807]", "100000", "1000000", `"r0"`, "[null]", `[{}]`, "3", "1e-9", "2147483648", "4294967296",
}

// oddBody returns the body of a submission with some values replaced.
func oddBody(r *rand.Rand) string {
	v := func(s string) string {
		if r.IntN(6) == 0 {
			return oddValues[r.IntN(len(oddValues))]
		}
		return s
	}
	fields := []string{
		"gpu", wire.After, wire.Saves, "gang", wire.OneRack, "requirements", "affinity", wire.PerWorker, "speculative", "longRunning", "image", "targetMs", "fills", "mayMiss", "estimateMs",
	}
	plain := []string{"1", "[0]", "true", "true", "true", `"r0"`, `"r0"`, "2", "true", "true", `"i"`, "20", "true", "1", "500"}
	steps := []string{}
	for range 1 + r.IntN(3) {
		st := fmt.Sprintf(`"count":%s,"cpu":%s,"memMb":%s,"estimateMs":%s`, v("3"), v("1000"), v("500"), v("300"))
		for i, f := range fields {
			if r.IntN(6) == 0 {
				st += fmt.Sprintf(`,"%s":%s`, f, v(plain[i]))
			}
		}
		steps = append(steps, "{"+st+"}")
	}
	b := fmt.Sprintf(`{"spec":%s,"steps":[%s]`, v(`"odd"`), strings.Join(steps, ","))
	if r.IntN(4) == 0 {
		b += fmt.Sprintf(`,"repeatCount":%s,"startAtMs":%s,"intervalMs":%s`, v("3"), v(fmt.Sprint(time.Now().UnixMilli())), v("200"))
	}
	if b += "}"; r.IntN(20) == 0 {
		b = b[:r.IntN(len(b))]
	}
	return b
}

// caseOdd sends many requests with odd fields, and checks that all daemons go on.
func caseOdd(o options, trouble bool) int {
	o.workers = 6
	s, daemons := newSystem(o)
	defer s.close(daemons)
	waitReady(daemons)
	r := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	codes := map[int]int{}
	var ids []string
	for i := 0; trouble && i < 6000; i++ {
		d := daemons[r.IntN(len(daemons))]
		id, method, body := newID(), "POST", oddBody(r)
		switch r.IntN(12) {
		case 0:
			id = []string{"", "x", "..", "%00", strings.Repeat("a", 5000), "0000", id + id, id + "/" + id, id[:15] + "g", strings.ToUpper(id)}[r.IntN(10)]
		case 1:
			method = []string{"GET", "DELETE", "PUT", "HEAD", "PATCH", "OPTIONS"}[r.IntN(6)]
		}
		if len(ids) > 0 && r.IntN(10) < 4 {
			id, method, body = ids[r.IntN(len(ids))], []string{"GET", "DELETE", "POST"}[r.IntN(3)], ""
		}
		req, err := http.NewRequest(method, "http://"+d.callers+routePrefix+id, bytes.NewReader([]byte(body)))
		if err != nil {
			continue
		}
		req.Host = callerHost
		req.Header.Set(wire.Deadline, []string{"400", "400", "400", "400", "0", "-1", "x", "99999999999999999999", "1.5"}[r.IntN(9)])
		resp, err := httpClient.Do(req)
		if err != nil {
			codes[0]++
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		codes[resp.StatusCode]++
		if resp.StatusCode == 200 && method == "POST" {
			ids = append(ids, id)
			s.event("accepted: %s %s", id, body)
		}
	}
	fmt.Println(codes)
	pause(2 * time.Second)
	sub := plain(r)
	s.submit(sub, daemons)
	for range 60 {
		if s.poll(sub, daemons[0]); !sub.finalAt.IsZero() {
			break
		}
		pause(200 * time.Millisecond)
	}
	fmt.Println("a plain submission is", sub.state)
	for _, d := range daemons {
		if d.cmd.Process.Signal(syscall.Signal(0)) != nil {
			fmt.Println(d.name, "has ended")
		}
	}
	return s.outcome()
}
