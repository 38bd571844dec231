package app

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/event"
	"buckthornpin/memory"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/wire"
)

// reportedSite consists of the processes that heartbeats reach, without their connections: three
// control processes and, at the end, a router. Messages between them are encoded and decoded as on
// a connection, and one that can't be encoded is lost.
type reportedSite struct {
	t         *testing.T
	rng       *rand.Rand
	processes []*PlatformProcess
	engines   []*soundEngine
}

// soundEngine serves requests and sends the heartbeats of a process that works.
type soundEngine struct {
	// report is what it says of itself.
	report buckthornpin.Endpoint

	mu sync.Mutex
	// changed are the requests that didn't arrive as they were sent.
	changed []string
	served  int
}

const (
	reportedOrganisation = "cafe"
	reportedBody         = "a permit"
)

func newReportedSite(t *testing.T, seed uint64) *reportedSite {
	t.Helper()
	s := &reportedSite{t: t, rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range 4 {
		set := config.Defaults()
		set.VM, set.Roles = fmt.Sprint("control-", i+1), []string{config.RoleControl}
		if i == 3 {
			set.VM, set.Roles = "router-1", []string{config.RoleRouter}
		}
		set.Platform.IP, set.Platform.MeshPort = fmt.Sprint("127.0.0.", i+1), 1
		set.Platform.Heartbeat, set.Platform.Contact = config.Duration(time.Minute), config.Duration(time.Second)
		line := &event.Timeline{VM: set.VM, Clock: &event.Clock{}}
		p := &PlatformProcess{Settings: set, Log: zerolog.Nop(), metrics: new(expvar.Map), events: &eventRecorder{timeline: line, log: zerolog.Nop()}}
		p.setSeeds(set.Platform)
		p.openMesh()
		s.processes = append(s.processes, p)
	}
	for i, service := range []string{"llm", "llm", "records", "records"} {
		s.addEngine(fmt.Sprintf("i-%s-%d", service, i), service)
	}
	return s
}

func (s *reportedSite) addEngine(id, service string) {
	e := &soundEngine{}
	server := httptest.NewServer(e)
	s.t.Cleanup(server.Close)
	e.report = buckthornpin.Endpoint{
		ID: id, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "zone-1", Version: "v1", Services: []string{service}, Capacity: 6,
		Incarnation: 1_700_000_000_000 + s.rng.Int64N(1000),
	}
	s.engines = append(s.engines, e)
}

// ServeHTTP runs what is meant for the engine.
func (e *soundEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := platf.DecodeEndpointRequest(r.Header)
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Endpoint != e.report.ID {
		platf.EncodeEndpointAnswer(w.Header(), q.ID, "", true)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.served++
	if q.Organisation != reportedOrganisation || string(body) != reportedBody {
		e.changed = append(e.changed, fmt.Sprintf("%q of organisation %q", body, q.Organisation))
	}
	platf.EncodeEndpointAnswer(w.Header(), q.ID, "signed", false)
}

// put sends a heartbeat to a control process drawn at random and returns the status.
func (s *reportedSite) put(id string, body []byte) int {
	return s.call(http.MethodPut, id, body, s.processes[s.rng.IntN(3)])
}

func (s *reportedSite) call(method, id string, body []byte, p *PlatformProcess) int {
	calls := (&platf.ControlServer{Control: &platformControl{process: p}, Log: zerolog.Nop(), Timeout: time.Second}).Handler()
	r := httptest.NewRequest(method, platf.InstancePath(id), bytes.NewReader(body))
	w := httptest.NewRecorder()
	calls.ServeHTTP(w, r)
	return w.Code
}

// beat has all sound engines send a heartbeat.
func (s *reportedSite) beat() {
	for _, e := range s.engines {
		e.report.Sequence++
		require.Equal(s.t, http.StatusOK, s.put(encodeReport(e.report)))
	}
}

// encodeReport returns the id and the body of a report.
func encodeReport(e buckthornpin.Endpoint) (id string, body []byte) {
	_, body = platf.EncodeHeartbeat(e)
	return e.ID, body
}

// exchange has each process tell the others what it has learned.
func (s *reportedSite) exchange() {
	for _, p := range s.processes {
		s.tell(p, p.directory.NextUpdates())
	}
}

func (s *reportedSite) tell(p *PlatformProcess, states []*wire.EndpointState) {
	for _, other := range s.processes {
		if other == p {
			continue
		}
		r := &wire.TellRequest{}
		if !throughWire(&wire.TellRequest{Vm: p.Settings.VM, Endpoints: states}, r) {
			continue
		}
		reply, err := other.mesh.Tell(context.Background(), r)
		require.NoError(s.t, err)
		read := &wire.TellReply{}
		if throughWire(reply, read) {
			p.directory.Merge(read.GetEndpoints())
		}
	}
}

// throughWire encodes a message and decodes it into another. It reports whether that is possible.
func throughWire(from, to proto.Message) bool {
	data, err := proto.Marshal(from)
	return err == nil && proto.Unmarshal(data, to) == nil
}

// requireSoundEnginesServe requires that the router knows all sound engines as they reported
// themselves, and that whatever it sends to the endpoints that it knows arrives unchanged.
func (s *reportedSite) requireSoundEnginesServe() {
	s.t.Helper()
	router := s.processes[3]
	pool := &conn.Pool{DialTimeout: time.Second, SilenceTimeout: 5 * time.Second}
	for _, service := range []string{"llm", "records"} {
		for _, e := range router.directory.Serving(buckthornpin.Target{Service: service}) {
			if !e.Leaving && !e.Dead {
				s.sendTo(pool, e)
			}
		}
	}
	for _, e := range s.engines {
		require.Empty(s.t, e.changed, e.report.ID)
		require.Equal(s.t, 1, e.served, "requests that %s got", e.report.ID)
	}
}

func (s *reportedSite) sendTo(pool *conn.Pool, e *buckthornpin.Endpoint) {
	body, err := (&memory.Account{Size: 1 << 20}).NewBody("", int64(len(reportedBody)), 1<<10)
	require.NoError(s.t, err)
	_, err = body.ReadFrom(strings.NewReader(reportedBody))
	require.NoError(s.t, err)
	q := &relay.Request{ID: "r-" + url.PathEscape(e.ID), Method: http.MethodPost, Host: "h.example", Target: "/a", Body: body}
	d := relay.Dispatch{Request: q, Endpoint: e, Organisation: reportedOrganisation, Deadline: time.Now().Add(5 * time.Second)}
	a, err := (&platf.Endpoints{Pool: pool}).Send(context.Background(), d)
	if err == nil {
		require.NoError(s.t, a.Body.Close())
	}
}

// unusableText returns text that a header, a message or a reader of either doesn't keep as it is.
func unusableText(rng *rand.Rand) string {
	texts := []string{
		"\r\n", "\n", "\r", "\x00", "\x7f", "\t", " ", "\xff", "\xc3", "\xed\xa0\x80", "\u0085", "\ufffd",
		"\r\nX-Added: 1", "\r\n\r\n", strings.Repeat("x", 70_000),
	}
	return texts[rng.IntN(len(texts))]
}

// foreignWriter writes a report of its own from what an engine says of itself.
type foreignWriter func(rng *rand.Rand, r buckthornpin.Endpoint) (id string, body []byte)

// writersOfUnusableText write text that isn't the same after it was written and read.
var writersOfUnusableText = []foreignWriter{
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		text := unusableText(rng)
		r.ID = []string{r.ID + text, text + r.ID, text}[rng.IntN(3)]
		return encodeReport(r)
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		return encodeReport(withText(rng, r, unusableText(rng)))
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		const place = "PLACE"
		id, body := encodeReport(withText(rng, r, place))
		return id, bytes.ReplaceAll(body, []byte(place), []byte(unusableText(rng)))
	},
}

// withText adds text to a field of a report, and gives it an id and an address of its own.
func withText(rng *rand.Rand, r buckthornpin.Endpoint, text string) buckthornpin.Endpoint {
	r.ID, r.Address, r.Services = agentID(rng), foreignAddress, slices.Clone(r.Services)
	field := []*string{&r.Services[0], &r.Zone, &r.Version, &r.Address}[rng.IntN(4)]
	*field += text
	return r
}

// writersOfOtherEndpoints write reports that can be read, but name no engine to use, or one of
// their own.
var writersOfOtherEndpoints = []foreignWriter{
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		r.ID, r.Services = []string{agentID(rng), r.ID}[rng.IntN(2)], []string{"host-agent"}
		return encodeReport(r)
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		r.ID, r.Services, r.Address = []string{agentID(rng), r.ID}[rng.IntN(2)], []string{"host-agent"}, foreignAddress
		return encodeReport(r)
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		r.ID = agentID(rng)
		return encodeReport(r)
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		body := withoutField(rng, r)
		if _, err := platf.DecodeHeartbeat(r.ID, body); err == nil {
			return agentID(rng), body // It can't be told from the engine's own report.
		}
		return r.ID, body
	},
	func(rng *rand.Rand, r buckthornpin.Endpoint) (string, []byte) {
		id, body := encodeReport(r)
		return id, body[:rng.IntN(len(body))]
	},
}

// withoutField encodes a report in which a field is missing or has another type.
func withoutField(rng *rand.Rand, r buckthornpin.Endpoint) []byte {
	_, body := encodeReport(r)
	fields := map[string]any{}
	if err := json.Unmarshal(body, &fields); err != nil {
		panic(err)
	}
	names := slices.Sorted(maps.Keys(fields))
	name := names[rng.IntN(len(names))]
	if fields[name] = []any{}; rng.IntN(2) == 0 {
		delete(fields, name)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return body
}

// foreignAddress is an address at which no sound engine is.
const foreignAddress = "127.0.0.9:9"

func agentID(rng *rand.Rand) string { return fmt.Sprint("agent-", rng.IntN(4)) }

// putForeign has one of the writers send a report beside an engine drawn at random. It may claim an
// earlier or a later start, the start of the engine, or a sequence that runs ahead.
func (s *reportedSite) putForeign(writers []foreignWriter) {
	r := s.engines[s.rng.IntN(len(s.engines))].report
	r.Incarnation += []int64{-5000, 0, 5000}[s.rng.IntN(3)]
	r.Sequence = []int64{0, r.Sequence, 1 << 40}[s.rng.IntN(3)]
	r.Leaving = s.rng.IntN(2) == 0
	s.put(writers[s.rng.IntN(len(writers))](s.rng, r))
}

// requireForeignReportsChangeNothing sends reports of writers between those of sound engines, to
// processes that have just started, with several seeds.
func requireForeignReportsChangeNothing(t *testing.T, writers []foreignWriter) {
	t.Helper()
	const seeds, rounds, reportsPerRound = 40, 8, 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newReportedSite(t, seed)
			for range rounds {
				for range reportsPerRound {
					s.putForeign(writers)
				}
				s.beat()
				s.exchange()
			}
			for _, p := range s.processes[:3] {
				s.tell(p, p.directory.States())
			}
			s.requireSoundEnginesServe()
		})
	}
}

// TestUnusableNamesChangeNothing guards against names in reports that can't be written and read back
// unchanged: they cut the requests that are sent to engines, or keep the news of all others back.
func TestUnusableNamesChangeNothing(t *testing.T) {
	requireForeignReportsChangeNothing(t, writersOfUnusableText)
}

// TestReportsOfOtherEndpointsChangeNothing guards against reports that take sound engines out of
// service: those that name an engine's id or address for another service, or can't be read.
func TestReportsOfOtherEndpointsChangeNothing(t *testing.T) {
	requireForeignReportsChangeNothing(t, writersOfOtherEndpoints)
}

// TestReportWithUnusableNameIsRefused guards against a report that is acknowledged though its names
// can't be used, and against one that is refused without a reason in the log.
func TestReportWithUnusableNameIsRefused(t *testing.T) {
	s := newReportedSite(t, 1)
	_, report := encodeReport(s.engines[0].report)
	for _, id := range []string{"i-1\r\n", "i-1\n", " i-1", "i-1 ", "i-\x00", "i-\xff", strings.Repeat("x", 2000)} {
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			require.Equal(t, http.StatusBadRequest, s.call(method, id, report, s.processes[0]), "%s %q", method, id)
		}
	}
	for _, p := range s.processes {
		require.Empty(t, p.directory.Endpoints())
	}
}
