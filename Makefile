# `make demo` and `make check` install all dependencies on a fresh Debian machine.
BUILD := build/release
JOBS ?= $(shell nproc)

.PHONY: dependencies build deploy-build demo check check-asan check-tsan soak lint format generate

dependencies:
	scripts/install-dependencies.sh

build: dependencies
	cmake --preset release
	cmake --build --preset release -j $(JOBS)

demo: build
	python3 scripts/demo.py --build $(BUILD)

# The same build as on the users' platform: type Release, without tests.
deploy-build: dependencies
	cmake -S . -B build/deploy -G Ninja -DCMAKE_BUILD_TYPE=Release -DSHUNTRUN_TESTS=OFF
	cmake --build build/deploy -j $(JOBS) --target shuntrun

check: build deploy-build check-asan
	scripts/run_tests.sh $(BUILD)

check-asan: dependencies
	cmake --preset asan
	cmake --build --preset asan -j $(JOBS)
	scripts/run_tests.sh build/asan

check-tsan: dependencies
	cmake --preset tsan
	cmake --build --preset tsan -j $(JOBS)
	scripts/run_tests.sh build/tsan

# Runs real processes under injected faults, to be started by hand: make soak SEEDS=1..50 SECONDS=20
SEEDS ?= 1..50
SECONDS ?= 20

soak: build
	python3 tests/system/soak.py --build $(BUILD) --work $(BUILD)/soak --seeds $(SEEDS) --seconds $(SECONDS)

lint: dependencies
	scripts/lint.sh

format:
	git ls-files '*.c' '*.h' | grep -v src/generated/ | xargs clang-format -i

# Does not build the project first: code that uses a new message or setting needs what this writes.
generate: dependencies
	cmake --preset release
	cmake --build --preset release --target generate
