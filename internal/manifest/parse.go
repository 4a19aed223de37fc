package manifest

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Problem is one mistake in a manifest.
type Problem = inifile.Problem

// Digest returns the hex SHA-256 of a manifest's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Parse parses a manifest. It returns either the site or all problems of the
// text, sorted. The file name is used only in the problems.
func Parse(file string, text []byte) (*model.Site, []Problem) {
	p := &parser{file: inifile.Load(file, text)}
	if problems := p.file.Problems(); isUnreadable(problems) {
		return nil, problems
	}
	site := p.site()
	c := newChecker(p)
	c.check(site)
	problems := p.file.Problems()
	if len(problems) == 0 {
		return site, nil
	}
	slices.SortFunc(problems, compareProblems)
	return nil, slices.Compact(problems)
}

// isUnreadable reports whether the text is not an INI file at all. Then no key
// could be read, and further problems would only mislead.
func isUnreadable(problems []Problem) bool {
	return len(problems) == 1 && problems[0].Section == "" && problems[0].Key == ""
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(a.Section, b.Section),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Message, b.Message),
	)
}

// parser converts the sections of a file into a site.
type parser struct {
	file *inifile.File
	// pools, services and waves hold the sections in the order of the site's
	// lists, so that checks across sections report at the right section.
	pools    []section
	services []section
	waves    []section
}

func (p *parser) site() *model.Site {
	s := section{p.file.Section(sectionSite), sectionSite}
	return &model.Site{
		Name:     s.name("name"),
		Revision: uint64(s.count("revision")),
		Policy:   p.policy(),
		Pools:    p.readPools(),
		Services: p.readServices(),
		Teams:    p.readTeams(),
		Waves:    p.readWaves(),
	}
}

// namedSections returns the sections of a kind, sorted by name, and checks their
// names.
func (p *parser) namedSections(kind string) []section {
	var sections []section
	last := ""
	for _, ini := range p.file.SectionsOfKind(kind) {
		s := section{ini, kind}
		label := ini.Label()
		if !namePattern.MatchString(label) {
			s.report("", "names %q; allowed: %s", label, Key{Unit: UnitName}.Bounds())
		}
		if len(sections) > 0 && label == last {
			s.report("", "names %q a second time", label)
		}
		last = label
		sections = append(sections, s)
	}
	if len(sections) > MaxSections {
		p.file.Report("", "", fmt.Sprintf("has %d sections [%s NAME]; at most %d are allowed", len(sections), kind, MaxSections))
	}
	return sections
}

func (p *parser) policy() model.Policy {
	s := section{p.file.Section(sectionPolicy), sectionPolicy}
	return model.Policy{MoveWeight: s.weight("move_weight"), BufferWeight: s.weight("buffer_weight")}
}

func (p *parser) readPools() []model.Pool {
	p.pools = p.namedSections(sectionPool)
	pools := make([]model.Pool, 0, len(p.pools))
	for _, s := range p.pools {
		pools = append(pools, model.Pool{
			ID:          model.PoolID(s.ini.Label()),
			MinVMs:      int(s.count("min_vms")),
			MaxVMs:      int(s.count("max_vms")),
			Shape:       s.resources(),
			Zones:       convert[model.ZoneID](s.names("availability_zones")),
			BusyWindows: s.windows("busy"),
		})
	}
	return pools
}

func (p *parser) readServices() []model.Service {
	p.services = p.namedSections(sectionService)
	services := make([]model.Service, 0, len(p.services))
	for _, s := range p.services {
		instances := int(s.count("instances"))
		services = append(services, model.Service{
			ID:           model.ServiceID(s.ini.Label()),
			Pool:         model.PoolID(s.name("pool")),
			Instances:    instances,
			Size:         s.resources(),
			Slots:        int(s.count("slots")),
			Connections:  int(s.count("connections")),
			MinAvailable: s.minAvailable(instances),
			Timeout:      s.duration("timeout"),
			QueueLimit:   int(s.count("queue_limit")),
			Priority:     s.priority("priority"),
			Routes:       s.routes(),
		})
	}
	return services
}

// minAvailable returns the availability budget from whichever of its two keys is
// present.
func (s section) minAvailable(instances int) int {
	minAvailable := int(s.count("min_available"))
	maxUnavailable := int(s.count("max_unavailable"))
	switch {
	case s.ini.Has("min_available") && s.ini.Has("max_unavailable"):
		s.report("max_unavailable", "stands beside min_available; allowed: one of the two")
	case s.ini.Has("max_unavailable"):
		if maxUnavailable > instances {
			s.report("max_unavailable", "is %d; allowed: at most instances, which is %d", maxUnavailable, instances)
		}
		return instances - maxUnavailable
	case s.ini.Has("min_available"):
		if minAvailable > instances {
			s.report("min_available", "is %d; allowed: at most instances, which is %d", minAvailable, instances)
		}
	default:
		s.report("min_available", "is missing; allowed: min_available or max_unavailable")
	}
	return minAvailable
}

func (p *parser) readTeams() []model.Team {
	sections := p.namedSections(sectionTeam)
	teams := make([]model.Team, 0, len(sections))
	for _, s := range sections {
		teams = append(teams, model.Team{
			ID:          model.TeamID(s.ini.Label()),
			Quota:       s.resources(),
			MaxJobs:     int(s.count("max_jobs")),
			MaxRequests: int(s.count("max_requests")),
		})
	}
	return teams
}

func (p *parser) readWaves() []model.Wave {
	p.waves = p.namedSections(sectionWave)
	waves := make([]model.Wave, 0, len(p.waves))
	for _, s := range p.waves {
		waves = append(waves, model.Wave{
			ID:          model.WaveID(s.ini.Label()),
			Pools:       convert[model.PoolID](s.names("pools")),
			Start:       s.time("start"),
			MaxParallel: int(s.count("max_parallel")),
			Soak:        s.duration("soak"),
		})
	}
	return waves
}

// convert converts a list of names to type T; nil stays nil.
func convert[T ~string](names []string) []T {
	var typed []T
	for _, name := range names {
		typed = append(typed, T(name))
	}
	return typed
}
