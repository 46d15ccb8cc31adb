package instance

import (
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// teamObjectives are the objectives of every team in the burn report, as fractions of the
// team's requests. The latency that a request must meet is the objective of its route.
var teamObjectives = &pb.Objectives{
	FirstTokenShare: 0.95,
	AnsweredShare:   0.99,
	NotRefusedShare: 0.99,
}

func (in *Routed) startReports() error {
	in.reports = newReports(in.cfg.ID, &in.base, in.objectives)
	return nil
}

// objectives returns the objectives of a team, nil if the active table has no such team.
func (in *Routed) objectives(team string) *pb.Objectives {
	index := in.activeTable.Current()
	if index == nil {
		return nil
	}
	for _, t := range index.Table.Teams {
		if t.Name == team {
			return teamObjectives
		}
	}
	return nil
}

// Reports returns the handler of the burn report, of the explanations of finished requests
// and of the holds on parts of prompts. It serves only operators that send the token.
func (in *Routed) Reports(token string) http.Handler {
	cfg := admin.Config{
		Token:   token,
		Explain: in.reports.findRequest,
		Burn:    in.reports.aggregator.Collect,
		Logger:  in.logger,
	}
	if in.guard != nil {
		cfg.Quarantine = in.guard
	}
	return admin.NewReportsHandler(cfg)
}
