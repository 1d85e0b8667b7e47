package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Text writes the report as plain text tables.
func (r Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%s\n", r.Service)
	fmt.Fprintf(w, "state\t%s at revision %d, sealed %v\n", r.State, r.Revision, r.Sealed)
	fmt.Fprintf(w, "received\t%d\n", r.Received)
	fmt.Fprintf(w, "served whole\t%d\n", r.Served)
	fmt.Fprintf(w, "refused, not run\t%d\n", r.Refused)
	fmt.Fprintf(w, "may have run\t%d\n", r.Uncertain)
	fmt.Fprintf(w, "cancelled by caller\t%d\n", r.Abandoned)
	fmt.Fprintf(w, "still open\t%d\n", r.Open)
	fmt.Fprintf(w, "latency\tmedian %v, 99%% %v\n", r.Median.Round(time.Microsecond), r.Tail.Round(time.Microsecond))
	fmt.Fprintf(w, "ejections\t%d\n", r.Ejections)
	fmt.Fprintf(w, "unaccounted at most\t%d in %d vanished instances\n\n", r.Unaccounted, r.Vanished)
	fmt.Fprintln(w, "CLASS\tREASON\tOUTCOME\tREQUESTS\tBYTES")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", orDash(row.Class), row.Reason, row.Outcome, row.Requests, row.Bytes)
	}
	fmt.Fprintln(w, "\nREVISION\tFIRST IN FORCE\tLAST TAKEN UP\tINSTANCES")
	for _, v := range r.Revisions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", v.Revision, formatTime(v.First), formatTime(v.Last), v.Instances)
	}
	fmt.Fprintln(w, "\nINSTANCE\tINCARNATION\tRECEIVED\tLAST REPORT\tSTATE\tUNACCOUNTED")
	for _, i := range r.Instances {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\n", i.Instance, i.Incarnation, i.Received, formatTime(i.Last), i.state(), i.Uncertain)
	}
	return eris.Wrap(w.Flush(), "write report")
}

// state returns whether the counts of the incarnation are complete, whether it
// vanished, or that it still reports.
func (i Incarnation) state() string {
	switch {
	case i.Final:
		return "complete"
	case i.Vanished:
		return "vanished"
	}
	return "reporting"
}

// JSON writes the report as JSON.
func (r Report) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(r), "write report")
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
