package caller

import (
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// siteEvery is how old the site may be that requests are served by. A view
// taken for each request would make the state copy its tables at each change.
const siteEvery = 100 * time.Millisecond

// siteCache holds the site that is in force, and when it was looked up.
type siteCache struct {
	site atomic.Pointer[model.Site]
	at   atomic.Int64
}

// currentSite returns the site, nil when no manifest is in force.
func (s *Server) currentSite() *model.Site {
	now := s.Now().UnixNano()
	site := s.site.site.Load()
	if site != nil && now-s.site.at.Load() < int64(siteEvery) {
		return site
	}
	site = s.Log.View().Site
	s.site.site.Store(site)
	s.site.at.Store(now)
	return site
}
