//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	// memoryMB is the memory of a front VM of the site, as its processes are told.
	memoryMB = 284
	// largeBody is max-body-bytes of the desired state.
	largeBody = 4 << 20
	// usualPerSecond are the usual requests of a large tenant at one front VM: about a seventh of
	// the 14.5 a second that the site's sheet has for each of its 6 VMs. hotFactor and hotFor are
	// within the site's largest dose of hot_tenant (x 7.5 for 6.5 s).
	usualPerSecond = 2
	hotFactor      = 7
	hotFor         = 6500 * time.Millisecond
)

// largeBodies has a tenant whose bodies are as large as the desired state allows send many times its
// usual.
func largeBodies(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		f.add("control", n+1)
	}
	for n := range 2 {
		f.add("router", n+1)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	for n := range 6 {
		e := f.newEngine(n+1, modelService)
		e.events, e.gap = 24, 250*time.Millisecond
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.end(false)
	}
	o := &operator{fleet: f}
	if !o.put(firstState(1), 15*time.Second) {
		return false, fmt.Errorf("the first desired state wasn't acknowledged")
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	rate := usualPerSecond
	if trouble {
		rate *= hotFactor
	}
	ctx, stop := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	var killed atomic.Int64
	for _, v := range f.running("router") {
		watch.Go(func() { f.limitMemory(ctx, v, &killed) })
	}
	cut := f.sendDossiers(rate)
	stop()
	watch.Wait()
	f.record.line("routers killed for their memory: %d; channels closed without a whole answer after the request was passed on to an engine: %d", killed.Load(), cut)
	return cut > 3, nil
}

// limitMemory kills the process of a VM once it uses more memory than the VM has, as the platform
// does, and starts it again.
func (f *fleet) limitMemory(ctx context.Context, v *vm, killed *atomic.Int64) {
	most := 0
	for ctx.Err() == nil {
		mb := residentMB(v.process.Process.Pid)
		if mb/32 > most/32 {
			f.record.line("%s uses %d MB", v.name, mb)
		}
		most = max(most, mb)
		if mb > memoryMB {
			f.record.line("%s uses %d MB of %d", v.name, mb, memoryMB)
			f.signal(v, syscall.SIGKILL)
			<-v.ended
			killed.Add(1)
			most = 0
			sleep(ctx, 500*time.Millisecond)
			if err := f.start(v, false); err != nil {
				return
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	f.record.line("%s used %d MB at most since its last start", v.name, most)
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// sendDossiers sends requests for streams to each router at a rate a second, on channels that are
// kept, and returns how many channels were closed after the answer had begun and before it was whole.
func (f *fleet) sendDossiers(rate int) int64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), largeBody)
	routers := f.vms[3:5]
	var wg sync.WaitGroup
	var cut, whole, other atomic.Int64
	end := time.Now().Add(hotFor)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			id := fmt.Sprintf("attempt-%d", attempts.Add(1))
			v := routers[n%len(routers)]
			q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(v, f.caller)+"/draft/"+id, bytes.NewReader(body))
			q.Host = host
			for name, value := range map[string]string{
				"Attempt-Id": id, "Api-Key": tenantKey, "Deadline-Ms": "8000", "Model": "m",
				"Token-Count": "1000,144", "Prompt-Prefix": fmt.Sprintf("a%d:800,s%d:200", n%24, n),
			} {
				q.Header.Set(name, value)
			}
			r, err := client.Do(q)
			if err != nil {
				other.Add(1)
				f.record.line("%s at %s: %v", id, v.name, err)
				return
			}
			defer func() { _ = r.Body.Close() }()
			_, err = io.Copy(io.Discard, r.Body)
			switch {
			case r.StatusCode == http.StatusOK && err == nil:
				whole.Add(1)
				f.record.line("%s at %s: answered whole", id, v.name)
			case r.StatusCode == http.StatusOK && ctx.Err() == nil:
				cut.Add(1)
				f.record.line("%s at %s: status 200, sealed %v, then: %v", id, v.name, r.Header.Get("Server-Seal") != "", err)
			default:
				other.Add(1)
				f.record.line("%s at %s: status %d, error %v", id, v.name, r.StatusCode, err)
			}
		})
		time.Sleep(time.Second / time.Duration(rate*len(routers)))
	}
	wg.Wait()
	f.record.line("requests with bodies of %d bytes, %d a second to each router: %d answered whole, %d cut in the answer, %d others", largeBody, rate, whole.Load(), cut.Load(), other.Load())
	return cut.Load()
}
