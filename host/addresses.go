package host

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"wasabirelay/document"
	"wasabirelay/inventory"
	"wasabirelay/problem"
)

// AddressList is the response to GET /v1/addresses.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// Keep is the time for which the caller may use the list.
	Keep document.Duration `json:"keep"`
}

// Address is the address of an entry host that serves callers.
type Address struct {
	Host    string `json:"host"`
	Centre  string `json:"centre"`
	Address string `json:"address"`
}

// Register adds GET /v1/addresses to mux.
func (f *Follower) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/addresses", f.serveAddresses)
}

func (f *Follower) serveAddresses(w http.ResponseWriter, r *http.Request) {
	d := f.View().Inventory
	if d == nil {
		problem.Unavailable("no-inventory", "host "+f.Host+" knows no inventory yet").Write(w)
		return
	}
	service := r.URL.Query().Get("service")
	if _, known := d.Services[service]; !known && service != "" {
		(&problem.Details{
			Type: "urn:wasabirelay:unknown-service", Title: "Unknown service", Status: http.StatusNotFound,
			Detail: "service " + service + " is not in the inventory", Field: "service", Executed: problem.None,
		}).Write(w)
		return
	}
	_, err := f.LeasedView()
	list := addressList(d, f.ServingHosts(), f.Host, err == nil && !f.draining.Load())
	// Callers use the first address, so a random order distributes them over the hosts.
	rand.Shuffle(len(list.Addresses), func(i, j int) {
		list.Addresses[i], list.Addresses[j] = list.Addresses[j], list.Addresses[i]
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// addressList returns the addresses of the hosts in serving that are not out of service.
// This host, self, is listed only if selfServes is true.
func addressList(d *inventory.Document, serving []string, self string, selfServes bool) AddressList {
	list := AddressList{Addresses: []Address{}, Keep: d.Rules.AddressTTL}
	for _, name := range serving {
		h, ok := d.Hosts[name]
		if !ok || h.OutOfService || d.Centres[h.Centre].OutOfService || (name == self && !selfServes) {
			continue
		}
		list.Addresses = append(list.Addresses, Address{name, h.Centre, h.Caller.String()})
	}
	return list
}

// CallerAddresses returns the caller addresses of the hosts that serve.
func (f *Follower) CallerAddresses() []string {
	d := f.View().Inventory
	if d == nil {
		return nil
	}
	_, err := f.LeasedView()
	var out []string
	for _, a := range addressList(d, f.ServingHosts(), f.Host, err == nil && !f.draining.Load()).Addresses {
		out = append(out, a.Address)
	}
	return out
}
