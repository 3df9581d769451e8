package capacity

import (
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/inventory"
)

// dataCentres of the design size: 3 regions with 3 data centres each.
const dataCentres = 9

// synthetic returns an inventory with the given numbers of services and upstreams, spread evenly over 9 data centres.
// Each service has two routes, and one service moves to another version.
func synthetic(services, upstreams int) *model.Inventory {
	inv := &model.Inventory{SchemaVersion: inventory.SchemaVersion}
	for region := range 3 {
		site := model.Site{Name: fmt.Sprintf("site-%d", region), Region: ptr(fmt.Sprintf("region-%d", region))}
		for dc := range 3 {
			site.DataCentres = append(site.DataCentres, model.DataCentre{Name: dataCentreName(region*3 + dc)})
		}
		inv.Sites = append(inv.Sites, site)
	}
	inv.Classes = []model.RequestClass{
		{Name: "urgent", Priority: 0, DeadlineMs: ptr(5000), Hedge: ptr(true)},
		{Name: "ordinary", Priority: 4, DeadlineMs: ptr(30000)},
		{Name: "bulk", Priority: 9, DeadlineMs: ptr(600000)},
	}
	for i := range 10 {
		inv.Customers = append(inv.Customers, model.Customer{Name: fmt.Sprintf("customer-%02d", i), Weight: ptr(float64(1 + i%3))})
	}
	for i := range services {
		inv.Services = append(inv.Services, syntheticService(i))
	}
	for i := range upstreams {
		s := &inv.Services[i%services]
		n := len(s.Upstreams)
		s.Upstreams = append(s.Upstreams, model.Upstream{
			Name: fmt.Sprintf("%s-%03d", s.Name, n), Address: fmt.Sprintf("10.%d.%d.%d:9001", i%services, n/200, n%200+1),
			DataCentre: dataCentreName(n % dataCentres), Version: fmt.Sprintf("4.%d", n/dataCentres%2),
		})
	}
	inv.Rules = &model.Rules{Versions: []model.VersionRule{
		{Service: inv.Services[0].Name, From: "4.0", To: "4.1", By: time.Now().Add(time.Hour).UTC().Truncate(time.Second)},
	}}
	return inv
}

func syntheticService(i int) model.Service {
	name := fmt.Sprintf("service-%02d", i)
	return model.Service{
		Name: name, Match: &model.Match{PathPrefix: ptr("/" + name)}, Slots: ptr(3), DefaultClass: ptr("ordinary"),
		Routes: []model.Route{
			{Name: "lookups", PathPrefix: "/" + name + "/lookups", Class: ptr("urgent"), Idempotent: ptr(true)},
			{Name: "orders", PathPrefix: "/" + name + "/orders", Class: ptr("ordinary"), Idempotent: ptr(false)},
		},
	}
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

func ptr[T any](v T) *T { return &v }

// withArchive adds the service of the emulator's large responses.
func withArchive(inv *model.Inventory) *model.Inventory {
	inv.Services = append(inv.Services, model.Service{
		Name: "archive", Match: &model.Match{PathPrefix: ptr("/archive")}, DefaultClass: ptr("bulk"),
		Upstreams: []model.Upstream{{Name: "archive-000", Address: "10.99.0.1:9001", DataCentre: dataCentreName(0), Version: "4.0"}},
	})
	return inv
}
