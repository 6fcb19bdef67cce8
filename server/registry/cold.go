package registry

import (
	"slices"
	"time"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// stampCold sets the times of the cold period of an announcement, if the service of the target
// limits cold targets.
func stampCold(s *catalog.State, t catalog.Target, left time.Duration, nowUnixMS int64) catalog.Target {
	index := slices.IndexFunc(s.Configuration.Services, func(service routing.Service) bool { return service.Name == t.Service })
	if index < 0 || s.Configuration.Services[index].ColdPerSecond <= 0 {
		return t
	}
	recorded, known := s.Targets[t.ID]
	return t.StampCold(nowUnixMS, left, s.Configuration.Services[index].ColdStartSeconds > 0, recorded, known)
}
