package losses

import (
	"fmt"
	"strings"
	"testing"
)

func requestLine(second int, fields string) string {
	return fmt.Sprintf(`{"time":"2026-07-23T05:00:%02d.500Z","level":"info","step":"request","service":"s","total_ms":200,%s,"message":"request finished"}`+"\n", second, fields)
}

// TestCauses aggregates one request of each outcome and checks kind, step and cause.
// "The caller's own" is a 404 response: an error of the caller, which is no loss.
func TestCauses(t *testing.T) {
	for name, c := range map[string]struct {
		fields string
		want   string
	}{
		"in time":          {`"status":200,"outcome":"answered","first_ms":100,"goal_ms":150`, ""},
		"no goal":          {`"status":200,"outcome":"answered","first_ms":9000`, ""},
		"the caller's own": {`"status":404,"outcome":"answered","first_ms":9,"goal_ms":150`, ""},
		"late":             {`"status":200,"outcome":"answered","first_ms":151,"goal_ms":150,"tries":1`, "late target the target's first byte"},
		"late, tried twice": {`"status":200,"outcome":"answered","first_ms":151,"goal_ms":150,"tries":2`,
			"late dispatch tried at more than one target"},
		"late, no table": {`"status":200,"outcome":"answered","first_ms":151,"goal_ms":150,"tries":1,"why_route":" waited for the first routing table"`,
			"late route no routing table after a start"},
		"late, no target": {`"status":200,"outcome":"answered","first_ms":151,"goal_ms":150,"tries":1,"why_dispatch":" waited for a target after this router's start"`,
			"late dispatch no target known after a start"},
		"failed":  {`"status":500,"outcome":"answered","first_ms":9,"goal_ms":150`, "failed target the target's own answer"},
		"cut":     {`"status":200,"outcome":"cut","first_ms":9,"error_step":"forward"`, "cut forward the answer broke off"},
		"refused": {`"status":503,"outcome":"busy","first_ms":9,"why_dispatch":" busy: service s"`, "refused dispatch busy"},
	} {
		s := New()
		if err := s.ReadLog(strings.NewReader(requestLine(7, c.fields))); err != nil {
			t.Fatal(err)
		}
		r := s.Report()
		got := ""
		for _, row := range r.Rows {
			got = fmt.Sprint(row.Kind, " ", row.Step, " ", row.Cause)
		}
		if got != c.want || r.Requests != 1 || r.Malformed != 0 {
			t.Errorf("%s: %q of %d requests, %d malformed, want %q", name, got, r.Requests, r.Malformed, c.want)
		}
	}
}

// TestRowsAreAddedUp reads two logs that also hold other lines, malformed lines, a line
// over the length bound and prefixed lines.
func TestRowsAreAddedUp(t *testing.T) {
	late := `"status":200,"outcome":"answered","first_ms":151,"goal_ms":150`
	refused := `"status":503,"outcome":"busy","first_ms":9`
	logs := []string{
		requestLine(8, late) + "  8.5 node-1 " + requestLine(8, late) + "no JSON\n" + `{"message":"the instance serves"}` + "\n",
		requestLine(7, refused) + `{"message":"request finished","status":"x"}` + "\n" +
			strings.Repeat("x", 2*maxLineBytes) + "\n" + strings.TrimSuffix(requestLine(8, refused), "\n"),
	}
	s := New()
	for _, text := range logs {
		if err := s.ReadLog(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	r := s.Report()
	var got []string
	for _, row := range r.Rows {
		got = append(got, fmt.Sprintf("%s %s %d", row.Second.Format("05"), row.Kind, row.Requests))
	}
	if want := "07 refused 1|08 late 2|08 refused 1"; strings.Join(got, "|") != want {
		t.Errorf("rows %v, want %s", got, want)
	}
	if r.Requests != 4 || r.Lost != 4 || r.Malformed != 2 || r.Omitted != 0 {
		t.Errorf("%d requests, %d lost, %d malformed, %d omitted", r.Requests, r.Lost, r.Malformed, r.Omitted)
	}
}

// TestRowsAreBounded logs more distinct losses than there may be rows and expects the
// excess in Report.Omitted.
func TestRowsAreBounded(t *testing.T) {
	s := New()
	var text strings.Builder
	for i := range maxRows + 5 {
		text.WriteString(strings.Replace(requestLine(7, `"status":503,"outcome":"busy"`), `"s"`, fmt.Sprintf(`"s%d"`, i), 1))
	}
	if err := s.ReadLog(strings.NewReader(text.String())); err != nil {
		t.Fatal(err)
	}
	if r := s.Report(); len(r.Rows) != maxRows || r.Omitted != 5 {
		t.Errorf("%d rows, %d omitted", len(r.Rows), r.Omitted)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(requestLine(7, `"status":503`))
	f.Fuzz(func(t *testing.T, text string) {
		s := New()
		if err := s.ReadLog(strings.NewReader(text)); err != nil {
			t.Error(err)
		}
	})
}
