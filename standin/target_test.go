package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a download whose handler goes on after the last byte and delays the
// next request on its connection.
func TestDownloadEndsWithLastByte(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(NewTarget(TargetConfig{Host: "h", Slots: 1}).Handler())
	defer srv.Close()
	get := func(path string) time.Duration {
		begin := time.Now()
		resp, err := srv.Client().Get(srv.URL + path)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		return time.Since(begin)
	}
	// Two chunks in four seconds: one pause of two seconds between them.
	c.Assert(get(fmt.Sprintf("/download?bytes=%d&seconds=4", 2*downloadChunk)) >= 2*time.Second, qt.IsTrue)
	c.Assert(get("/stock?id=1") < time.Second, qt.IsTrue)
}
