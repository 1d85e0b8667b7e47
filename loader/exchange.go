package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// errStatus reports a response with a status other than 200.
var errStatus = eris.New("unexpected status")

// exchangeTimeout bounds one HTTP call to a process under test.
const exchangeTimeout = 5 * time.Second

// exchange sends an HTTP request to a process under test and decodes its JSON
// response into receive. It posts send as JSON, or sends a GET if send is nil; a
// nil receive ignores the body of the response. It returns an error if the call or the
// encoding fails, and errStatus if the process refuses.
func exchange(address, path string, send, receive any) error {
	method := http.MethodGet
	if send != nil {
		method = http.MethodPost
	}
	return exchangeWith(method, address, path, send, receive)
}

// exchangeWith is exchange with a given method.
func exchangeWith(method, address, path string, send, receive any) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var body bytes.Buffer
	if send != nil {
		if err := json.NewEncoder(&body).Encode(send); err != nil {
			return eris.Wrap(err, "encode request body")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &body)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := httpc.DoRequest(r)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Wrapf(errStatus, "%s: %d", path, response.StatusCode)
	}
	if receive == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(receive), "decode response")
}
