package instance

import (
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// teamObjectives are the shares that the burn report holds every team against.
// The latency objective is that of each request's route.
var teamObjectives = &pb.Objectives{
	FirstTokenShare: 0.95,
	AnsweredShare:   0.99,
	NotRefusedShare: 0.99,
}

func (in *Routed) startReports() error {
	in.reports = newReports(in.cfg.ID, &in.base, in.objectives)
	return nil
}

// objectives returns those of a team, nil if the table in force has no such team.
func (in *Routed) objectives(team string) *pb.Objectives {
	index := in.holder.Current()
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

// Reports serves the burn report and explanations of finished requests to
// operators that bear the token.
func (in *Routed) Reports(token string) http.Handler {
	return admin.NewReportsHandler(admin.Config{
		Token:   token,
		Explain: in.reports.find,
		Burn:    in.reports.collector.Collect,
		Logger:  in.logger,
	})
}
