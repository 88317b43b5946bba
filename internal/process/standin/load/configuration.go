package load

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// Limits of the configuration that a run applies.
const (
	maxTasks  = 1100
	retention = 10 * time.Minute
)

// Harm of refusing a job, by its kind.
const (
	harmUrgent = 9
	harmShort  = 5
	harmLong   = 1
)

// Configuration returns the configuration for a trace: every kind runs on the targets
// that offer the service.
func Configuration(kinds []Kind, service string) (*configuration.Configuration, error) {
	limits, err := configuration.NewLimits(maxTasks, retention)
	if err != nil {
		return nil, err
	}
	var teams []configuration.Team
	var list []configuration.Kind
	for _, k := range kinds {
		if len(teams) == 0 || teams[len(teams)-1].Name() != k.team {
			t, err := configuration.NewTeam(k.team, 1, 0)
			if err != nil {
				return nil, err
			}
			teams = append(teams, t)
		}
		urgency, harm := configuration.High, harmShort
		switch {
		case k.urgent:
			urgency, harm = configuration.Critical, harmUrgent
		case k.long:
			urgency, harm = configuration.Low, harmLong
		}
		c, err := configuration.NewKind(k.team, k.name, service, urgency, k.commitment, k.runTime)
		if err != nil {
			return nil, err
		}
		list = append(list, c.WithHarm(harm).WithLong(k.long))
	}
	return configuration.New(1, limits, teams, list)
}
