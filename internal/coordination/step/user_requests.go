package step

type ErrorBody struct {
	Error string `json:"error"`
}
