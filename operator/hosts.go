package operator

import (
	"context"
	"maps"
	"net/http"
	"runtime"
	"slices"

	"wasabirelay/control"
	"wasabirelay/lease"
)

// getHosts serves GET /v1/hosts: 200 with Hosts.
func (s *Service) getHosts(w http.ResponseWriter, r *http.Request) {
	leases := s.leasesByHost(r.Context())
	response := Hosts{Hosts: []Host{}}
	for _, h := range s.View().Hosts {
		host := Host{Host: h}
		if l, ok := leases[h.Name]; ok {
			host.Lease = &l
		}
		response.Hosts = append(response.Hosts, host)
	}
	writeJSON(w, response)
}

// leasesByHost returns the leases by host, or nil if the leader can't be reached.
func (s *Service) leasesByHost(ctx context.Context) map[string]lease.Status {
	list, err := s.Leases(ctx)
	if err != nil {
		return nil
	}
	leases := make(map[string]lease.Status, len(list))
	for _, l := range list {
		leases[l.Host] = l
	}
	return leases
}

// getTargets serves GET /v1/targets?service=S: 200 with Targets; 404 if there is no such
// service. Without the parameter it lists the targets of all services.
func (s *Service) getTargets(w http.ResponseWriter, r *http.Request) {
	v := s.View()
	response := Targets{Targets: []*control.Target{}}
	services := slices.Sorted(maps.Keys(v.Targets))
	if r.URL.Query().Has("service") {
		services = []string{r.URL.Query().Get("service")}
		if !serviceExists(v, services[0]) {
			notFound("no service " + services[0] + " is known").Write(w)
			return
		}
	}
	for _, service := range services {
		response.Targets = append(response.Targets, v.Targets[service]...)
	}
	writeJSON(w, response)
}

// serviceExists reports whether the service is in the inventory or has targets.
func serviceExists(v *control.View, service string) bool {
	if len(v.Targets[service]) > 0 {
		return true
	}
	if v.Inventory == nil {
		return false
	}
	_, ok := v.Inventory.Services[service]
	return ok
}

// getVersion serves GET /v1/version: 200 with Version.
func (s *Service) getVersion(w http.ResponseWriter, _ *http.Request) {
	v := s.View()
	writeJSON(w, Version{
		Program: s.Program, Go: runtime.Version(), Host: s.Host, Leader: s.Leader(), Inventory: v.Version, Revision: v.Revision,
	})
}

// getStatus serves GET /v1/status: 200 with Status as JSON, or as text if the Accept
// header is text/plain.
func (s *Service) getStatus(w http.ResponseWriter, r *http.Request) {
	in := StatusInput{Time: s.Clock.Now(), Host: s.Host, View: s.View(), Leader: s.Leader(), Leases: s.leasesByHost(r.Context())}
	if s.Replicas != nil {
		replicas, err := s.Replicas(r.Context())
		if err == nil {
			in.Replicas = replicas
		}
	}
	if s.Findings != nil {
		in.Findings = s.Findings()
	}
	status := NewStatus(&in)
	if r.Header.Get("Accept") == "text/plain" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(status.Text()))
		return
	}
	writeJSON(w, status)
}
