package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"monsoonswitch/asserter"
)

// maxRefusedInTurn bounds the requests that instances to which callers are not sent may refuse of
// those of one call of sendInTurn. The first backend server that refuses or is another one costs a
// retry; after that the instance prefers others.
const maxRefusedInTurn = 2

// owners returns the addresses to which callers are sent, once all instances name the same.
func (f *platformFleet) owners(t *testing.T) []string {
	t.Helper()
	var result []string
	asserter.Eventually(t, "all instances name the same two addresses", waitLimit, func() bool {
		var lists [][]string
		for _, p := range f.instances {
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			status, body := f.get(p, "/resolve?name=ledger.example&zone=a")
			if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
				return false
			}
			slices.Sort(answer.Addresses)
			lists = append(lists, answer.Addresses)
		}
		result = lists[0]
		return len(result) == 2 && !slices.ContainsFunc(lists, func(list []string) bool { return !slices.Equal(list, result) })
	})
	return result
}

// sendInTurn sends unsafe requests to the instances in turn and returns how many were served.
// Instances to which callers are sent have a part of the fleet's retries and serve all of theirs.
// Others have only the retries that their own requests earned, and may refuse a request as not run.
func (f *platformFleet) sendInTurn(t *testing.T, count int) int {
	t.Helper()
	owners := f.owners(t)
	refused := 0
	for i := range count {
		p := f.instances[i%len(f.instances)]
		status, _ := f.send(p, "POST", "ledger.example", "/once/a", "work")
		if status == http.StatusServiceUnavailable && !slices.Contains(owners, p.front) {
			refused++
			continue
		}
		asserter.Equal(t, "status at "+p.name, status, http.StatusOK)
	}
	asserter.AtMost(t, "requests refused where callers are not sent", refused, maxRefusedInTurn)
	return count - refused
}
