package integ

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"buckthornpin"
	platf "buckthornpin/platform"
)

// foreignReportInterval is the time between two reports of other writers.
const foreignReportInterval = fleetHeartbeat / 4

// foreignReport returns a report of another writer beside an endpoint: under the endpoint's id with
// text that can't be written around it, or for a service that isn't configured, under an id of its
// own or the endpoint's. It claims a later start.
func foreignReport(random *rand.Rand, beside buckthornpin.Endpoint) buckthornpin.Endpoint {
	r := beside
	r.Incarnation, r.Sequence, r.Leaving = time.Now().UnixMilli(), 1<<40, random.IntN(2) == 0
	switch random.IntN(4) {
	case 0:
		r.ID += []string{"\r\n", "\n", "\x00", " "}[random.IntN(4)]
	case 1:
		r.ID += "\xff"
	case 2:
		r.ID, r.Services = "agent-of-"+r.ID, []string{"host-agent"}
	default:
		r.Services = []string{"host-agent"}
	}
	return r
}

// sendForeignReports sends reports of other writers beside the present endpoints to all control VMs
// until ctx ends.
func (f *fleet) sendForeignReports(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	endpoints, controls := slices.Clone(f.endpoints), slices.Clone(f.controls)
	f.background.Go(func() {
		every(ctx, foreignReportInterval, func() {
			e := endpoints[random.IntN(len(endpoints))]
			e.mu.Lock()
			beside := e.announced()
			e.mu.Unlock()
			report := foreignReport(random, beside)
			_, body := platf.EncodeHeartbeat(report)
			f.callControl(ctx, controls[random.IntN(len(controls))], http.MethodPut, platf.InstancePath(report.ID), body)
		})
	})
}

// TestFleetKeepsItsEndpointsAmongForeignReports guards against reports of other writers that take
// endpoints out of service, keep the news of them from routers that have just started, or cut
// requests. All processes are killed while such reports come.
func TestFleetKeepsItsEndpointsAmongForeignReports(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 2, modelEndpoints: 2, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(4, 20*time.Millisecond, 11)
	f.sendForeignReports(f.ctx, 11)
	began := time.Now()
	f.wait(2 * fleetContactTimeout)
	f.requireServed(f.observed.attemptsBetween(began, time.Now()), 0.99, "before the fault")
	for _, v := range f.allVMs() {
		f.kill(v)
	}
	for _, v := range f.allVMs() {
		f.relaunch(v, false)
	}
	f.requireRecovery("all processes were killed among foreign reports")
	began = time.Now()
	f.wait(2 * fleetContactTimeout)
	end()
	f.requireServed(f.observed.attemptsBetween(began, time.Now()), 0.99, "after the fault")
	f.requireNoViolations()
}
