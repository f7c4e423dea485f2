# Targets for developers. CI runs "make test" through .ci/run.
GO ?= go
TEST_TIMEOUT ?= 60m

.PHONY: build demo test format lint unit generate clean

build:
	$(GO) build -o bin/ ./cmd/... ./standin/cmd/...

demo: build
	bin/demo

test: format lint unit

format:
	@files=$$(git ls-files -co --exclude-standard '*.go') || exit 1; \
	unformatted=$$(gofmt -l $$files) || exit 1; \
	if [ -n "$$unformatted" ]; then echo "gofmt needed:"; echo "$$unformatted"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	./scripts/test.sh -race -timeout $(TEST_TIMEOUT) ./...

generate:
	$(GO) run ./tools/protogen

clean:
	rm -rf bin
