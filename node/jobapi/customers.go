package jobapi

import (
	"net/http"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/jobhost"
)

// CustomerList is the response body of the list of customers.
type CustomerList struct {
	Customers []shard.CustomerSummary `json:"customers"`
}

func (a *API) customers(w http.ResponseWriter, r *http.Request) {
	by := r.URL.Query().Get("by")
	if by != "" && by != "node" {
		writeProblem(w, http.StatusBadRequest, "by is not known", "write by=node, or leave it out")
		return
	}
	res := a.jobs.Do(r.Context(), jobhost.Request{Op: jobhost.OpCustomers})
	list := res.Customers
	if by == "" {
		list = sumCustomers(list)
	}
	writeResult(w, res, CustomerList{append([]shard.CustomerSummary{}, list...)})
}

// sumCustomers adds the shards' entries of each customer.
func sumCustomers(list []shard.CustomerSummary) []shard.CustomerSummary {
	var out []shard.CustomerSummary
	at := map[string]int{}
	for _, c := range list {
		c.Node = ""
		i, seen := at[c.Name]
		if !seen {
			at[c.Name] = len(out)
			out = append(out, c)
			continue
		}
		sum := &out[i]
		sum.Running, sum.Held, sum.WaitingRoom = sum.Running.Add(c.Running), sum.Held.Add(c.Held), sum.WaitingRoom.Add(c.WaitingRoom)
		sum.ShareMilliCPU += c.ShareMilliCPU
		sum.WaitingJobs += c.WaitingJobs
		sum.Refused += c.Refused
	}
	return out
}
