package caller

import (
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// siteMaxAge is how old the cached site may be. Taking a view of the state for
// each request would make the state copy its tables at each change.
const siteMaxAge = 100 * time.Millisecond

// siteCache holds the site in force and when it was loaded.
type siteCache struct {
	site     atomic.Pointer[model.Site]
	loadedAt atomic.Int64
}

// currentSite returns the site in force, nil if there is no manifest.
func (s *Server) currentSite() *model.Site {
	now := s.Now().UnixNano()
	site := s.site.site.Load()
	if site != nil && now-s.site.loadedAt.Load() < int64(siteMaxAge) {
		return site
	}
	site = s.Log.View().Site
	s.site.site.Store(site)
	s.site.loadedAt.Store(now)
	return site
}
