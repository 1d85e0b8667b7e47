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

// exchangeTimeout bounds a call to a process under test.
const exchangeTimeout = 5 * time.Second

// exchange posts a value to a process under test, or asks it if there is none,
// and reads the answer.
func exchange(address, path string, send, receive any) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	method := http.MethodGet
	var body bytes.Buffer
	if send != nil {
		method = http.MethodPost
		if err := json.NewEncoder(&body).Encode(send); err != nil {
			return eris.Wrap(err, "encode")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &body)
	if err != nil {
		return eris.Wrap(err, "build call")
	}
	response, err := httpc.DoRequest(r)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer response.Body.Close()
	if receive == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(receive), "read answer")
}
