package inventory

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/model"
)

var testNow = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name)
	require.NoError(t, err)
	return data
}

func example(t testing.TB, name string) *model.Inventory {
	t.Helper()
	inv, findings := Check(name, readExample(t, name), testNow)
	require.Empty(t, findings)
	return inv
}

// Guards against examples that no longer load or that shrink below the sizes of the two deployments.
func TestExamplesAreValidAtTheirSizes(t *testing.T) {
	for name, want := range map[string]struct {
		upstreams []int
		slots     int
	}{
		"yeux-clairs.yaml":         {[]int{25, 6}, 3},
		"kitami-hokusei.yaml":      {[]int{25, 6}, 6},
		"kitami-hokusei-move.yaml": {[]int{34, 6}, 6},
	} {
		s := NewSnapshot(1, example(t, name))
		assert.Len(t, s.DataCentres(), 3, name)
		for i, svc := range s.Services() {
			assert.Len(t, svc.Upstreams, want.upstreams[i], name)
			for _, u := range svc.Upstreams {
				assert.Equal(t, want.slots, u.Slots)
				assert.Equal(t, 240, u.Connections)
			}
		}
	}
}

// Guards against a finding that is lost, misplaced or hidden by another one: each faulty line of the example carries a
// comment, and exactly these lines are reported.
func TestBrokenExampleReportsEachFaultOnItsLine(t *testing.T) {
	data := readExample(t, "broken.yaml")
	inv, findings := Check("broken.yaml", data, testNow)
	assert.Nil(t, inv, "nothing of a bad document takes effect")

	want, got := map[int]bool{}, map[int]bool{}
	for i, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, "  # ") {
			want[i+1] = true
		}
	}
	for _, f := range findings {
		got[f.Line] = true
		assert.Equal(t, "broken.yaml", f.File)
		assert.NotEmpty(t, f.Field)
		assert.Positive(t, f.Column)
	}
	assert.Equal(t, want, got)
	assert.Len(t, findings, 22)
}

const minimal = `schemaVersion: 1
sites: [{name: s, dataCentres: [{name: a}, {name: b}]}]
classes: [{name: c, priority: 0}]
services:
  - name: x
    upstreams:
      - {name: x-1, address: "127.0.0.1:1", dataCentre: a, version: "1"}
      - {name: x-2, address: "127.0.0.1:2", dataCentre: b, version: "2"}
`

// Each case guards against a document whose named fault would take effect.
func TestCheckFindsEachFault(t *testing.T) {
	replace := func(old, replacement string) string {
		require.Contains(t, minimal, old)
		return strings.Replace(minimal, old, replacement, 1)
	}
	cases := map[string]struct {
		doc, field, message string
		line                int
	}{
		"syntax":             {replace("services:", "services: ["), "", "not valid YAML", 4},
		"empty":              {"# nothing\n", "", "empty", 1},
		"second document":    {minimal + "---\na: 1\n", "", "second one", 10},
		"unknown version":    {replace("schemaVersion: 1", "schemaVersion: 2"), "schemaVersion", "not known", 1},
		"unknown field":      {replace("name: x\n", "name: x\n    default_class: c\n"), "services[0].default_class", `did you mean "defaultClass"`, 6},
		"wrong type":         {replace("priority: 0", "priority: first"), "classes[0].priority", "must be a whole number", 3},
		"fraction":           {replace("priority: 0", "priority: 0.5"), "classes[0].priority", "must be a whole number", 3},
		"number as version":  {replace(`version: "1"`, `version: 1.0`), "services[0].upstreams[0].version", "must be a text", 7},
		"missing field":      {replace(", priority: 0", ""), "classes[0].priority", "is missing", 3},
		"field given twice":  {replace("name: x\n", "name: x\n    name: y\n"), "services[0].name", "given twice", 6},
		"anchor":             {replace("name: x\n", "name: &n x\n"), "services[0].name", "anchors", 5},
		"alias":              {replace("name: x\n", "name: *n\n"), "services[0].name", "", 5},
		"empty list":         {replace("classes: [{name: c, priority: 0}]", "classes: []"), "classes", "at least 1", 3},
		"duplicate name":     {replace("name: x-2", "name: x-1"), "services[0].upstreams[1].name", "already used", 8},
		"duplicate address":  {replace("127.0.0.1:2", "[::ffff:127.0.0.1]:1"), "services[0].upstreams[1].address", "already used", 8},
		"port 0":             {replace("127.0.0.1:2", "127.0.0.1:0"), "services[0].upstreams[1].address", "IP address and a port", 8},
		"bad name":           {replace("name: x-2", "name: x/2"), "services[0].upstreams[1].name", "letters, digits", 8},
		"dangling place":     {replace("dataCentre: b", "dataCentre: z"), "services[0].upstreams[1].dataCentre", "no data centre", 8},
		"route outside":      {minimal + "    routes: [{name: r, pathPrefix: /y}]\n", "services[0].routes[0].pathPrefix", "lies outside", 9},
		"dot segments":       {minimal + "    match: {pathPrefix: /a/../b}\n", "services[0].match.pathPrefix", "clean path", 9},
		"past date":          {minimal + `rules: {versions: [{service: x, from: "1", to: "2", by: "2026-12-03T00:00:00Z"}]}`, "rules.versions[0].by", "has passed", 9},
		"distant date":       {minimal + `rules: {versions: [{service: x, from: "1", to: "2", by: "2226-12-03T00:00:00Z"}]}`, "rules.versions[0].by", "more than a year", 9},
		"unparsable date":    {minimal + `rules: {versions: [{service: x, from: "1", to: "2", by: "3 May"}]}`, "rules.versions[0].by", "RFC 3339", 9},
		"no upstream of to":  {minimal + `rules: {versions: [{service: x, from: "1", to: "3", by: "2026-12-05T00:00:00Z"}]}`, "rules.versions[0].to", "no active upstream", 9},
		"two moves":          {minimal + `rules: {versions: [{service: x, from: "1", to: "2", by: "2026-12-05T00:00:00Z"}, {service: x, from: "2", to: "1", by: "2026-12-05T00:00:00Z"}]}`, "rules.versions[1].service", "already used", 9},
		"no place left":      {minimal + `rules: {dataCentres: [{dataCentre: a, state: leaving}, {dataCentre: b, state: leaving}]}`, "rules.dataCentres[1]", "no active upstream", 9},
		"impossible share":   {minimal + `rules: {versions: [{service: x, from: "1", to: "2", by: "2026-12-05T00:00:00Z", startPercent: 51}]}`, "rules.versions[0].startPercent", "at most 50", 9},
		"impossible weight":  {minimal + `customers: [{name: k, weight: -1}]`, "customers[0].weight", "greater than 0", 9},
		"infinite weight":    {minimal + `customers: [{name: k, weight: .inf}]`, "customers[0].weight", "finite", 9},
		"same limit twice":   {minimal + `rules: {limits: [{customer: "*", perSecond: 1}, {customer: "*", perSecond: 2}]}`, "rules.limits[1]", "same calls", 9},
		"too deep, flow":     {strings.Repeat("[", 100000), "", "nested deeper", 1},
		"too deep, one line": {strings.Repeat("- ", 100000), "", "nested deeper", 1},
		"huge mapping":       {strings.Repeat("k: 1\n", 1001), "", "more than 1000 lines", 1001},
		"NUL byte":           {"a: \x00", "", "NUL", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inv, findings := Check("f.yaml", []byte(c.doc), testNow)
			assert.Nil(t, inv)
			for _, f := range findings {
				if f.Field == c.field && f.Line == c.line && strings.Contains(f.Message, c.message) {
					return
				}
			}
			t.Fatalf("no finding at line %d, field %q with %q in %v", c.line, c.field, c.message, findings)
		})
	}
	_, findings := Check("f.yaml", []byte(minimal), testNow)
	assert.Empty(t, findings, "the document without a fault is accepted")
}

// Guards against services that claim the same requests, and against refusing prefixes that merely nest.
func TestOverlappingMatches(t *testing.T) {
	two := func(a, b string) []Finding {
		inv, findings := Parse("f.yaml", []byte(minimal+`  - {name: y, match: `+b+`, upstreams: [{name: y-1, address: "127.0.0.2:1", dataCentre: a, version: "1"}]}`))
		require.Empty(t, findings)
		if a != "" {
			inv.Services[0].Match = &model.Match{PathPrefix: &a}
		}
		return Validate(inv, testNow)
	}
	assert.Len(t, two("", "{pathPrefix: /x/}"), 1)
	assert.Len(t, two("/", "{pathPrefix: /}"), 1)
	assert.Empty(t, two("", "{pathPrefix: /x/deeper}"))
	assert.Empty(t, two("", "{pathPrefix: /x, hosts: [y.example]}"), "a named host wins over any host")
}

// FuzzParse guards against documents that crash the parser, hang it or return both an inventory and findings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add(readExample(f, "broken.yaml"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, findings := Check("f.yaml", data, testNow)
		if (inv == nil) == (len(findings) == 0) {
			t.Fatalf("inventory %v with findings %v", inv, findings)
		}
		if inv == nil {
			return
		}
		encoded, err := EncodeJSON(inv)
		require.NoError(t, err)
		back, err := DecodeJSON(encoded)
		require.NoError(t, err)
		assert.Empty(t, Differences(inv, back))
		NewSnapshot(1, inv)
	})
}
