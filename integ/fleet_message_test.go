package integ

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platf "buckthornpin/platform"
	sitecfg "buckthornpin/site"
)

// largeConfiguration returns a configuration with many routes.
func (f *fleet) largeConfiguration(version int64, routes int) sitecfg.Configuration {
	c := f.configuration(version)
	for i := range routes {
		c.Routes = append(c.Routes, sitecfg.Route{
			Name: fmt.Sprint("more-", i), Host: fleetHost, PathPrefix: fmt.Sprintf("/more-%d/", i), Kind: sitecfg.KindIdempotent,
			Shares: []sitecfg.Share{{Service: plainService, Weight: 1}}, Timeout: time.Second, MaxAttempts: 1,
		})
	}
	return c
}

// TestManyLargeMessagesStayWithinMemory guards against control VMs that are killed for their memory
// because several large configurations are put at once, by operators who send each again when they
// get no answer.
func TestManyLargeMessagesStayWithinMemory(t *testing.T) {
	const operators, routes = 16, 12000
	f := startFleet(t, fleetPlan{controls: 3, routers: 1, modelEndpoints: 1, plainEndpoints: 1, prepaid: amplePrepaid})
	ctx, stop := context.WithTimeout(f.ctx, 20*time.Second)
	defer stop()
	var all sync.WaitGroup
	for i := range operators {
		document := platf.EncodeConfiguration(f.largeConfiguration(int64(10+i), routes))
		if i == 0 {
			t.Logf("each configuration has %d KB", len(document)>>10)
		}
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if f.callControl(ctx, f.controls[(i+n)%len(f.controls)], http.MethodPut, platf.PathConfig, document) {
					f.recordAcked(int64(10 + i))
					return
				}
			}
		})
	}
	all.Wait()
	require.NoError(t, ctx.Err(), "each configuration is acknowledged, or one of a higher version")
	f.requireAckedConfiguration()
	for _, v := range f.allVMs() {
		t.Logf("%s used %d MB", v.name, v.peakBytes(t)>>20)
	}
	for _, v := range f.allVMs() {
		require.Less(t, v.peakBytes(t), int64(vmMemoryMB)<<20, v.name)
	}
}
