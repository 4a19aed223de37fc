package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// Run announces the stand-in until ctx ends, at the interval given in the
// responses. A failed announcement is retried soon, at the next address.
func (u *Upstream) Run(ctx context.Context) {
	for try := 0; ; try++ {
		wait, err := u.announce(ctx, try)
		if err != nil {
			wait = u.options.Renew / 4
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Announce announces the stand-in once, at the first address that accepts it.
func (u *Upstream) Announce(ctx context.Context) error {
	var err error
	for try := range u.options.Announce {
		if _, err = u.announce(ctx, try); err == nil {
			return nil
		}
	}
	return err
}

// Leave announces that the stand-in is leaving; it continues to serve.
func (u *Upstream) Leave(ctx context.Context) error {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	return u.Announce(ctx)
}

// Withdraw withdraws the announcement.
func (u *Upstream) Withdraw(ctx context.Context) error {
	if len(u.options.Announce) == 0 {
		return nil
	}
	target := fmt.Sprintf("%s?incarnation=%d", u.url(0), u.options.Incarnation)
	_, err := u.call(ctx, http.MethodDelete, target, nil)
	return err
}

func (u *Upstream) announce(ctx context.Context, try int) (time.Duration, error) {
	if len(u.options.Announce) == 0 {
		return u.options.Renew, nil
	}
	body, err := json.Marshal(u.next())
	if err != nil {
		return 0, err
	}
	response, err := u.call(ctx, http.MethodPut, u.url(try), body)
	if err != nil {
		return 0, err
	}
	var renew struct {
		RenewAfter string `json:"renew_after"`
	}
	if err := json.Unmarshal(response, &renew); err != nil {
		return 0, err
	}
	return time.ParseDuration(renew.RenewAfter)
}

// next returns an announcement with the next sequence number.
func (u *Upstream) next() upstream.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "serving"
	if u.leaving {
		state = "leaving"
	}
	return upstream.Announcement{
		Address:          u.Address(),
		VM:               u.options.VM,
		AvailabilityZone: u.options.AvailabilityZone,
		Incarnation:      u.options.Incarnation,
		Sequence:         u.sequence,
		Slots:            u.options.Slots,
		Connections:      u.options.Connections,
		State:            state,
	}
}

func (u *Upstream) url(try int) string {
	base := u.options.Announce[try%len(u.options.Announce)]
	return base + "/upstreams/" + url.PathEscape(u.options.Service) + "/" + url.PathEscape(u.options.Instance)
}

func (u *Upstream) call(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if u.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+u.options.Token)
	}
	resp, err := u.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("standin: announcement refused with status %d: %s", resp.StatusCode, response)
	}
	return response, err
}
