# SAN=1 builds with the address and undefined sanitizers into build/san.
# FUZZ targets need clang; everything else builds with $(CC).  V=1 shows the
# commands.

CC ?= cc
PREFIX ?= /usr/local
VERSION = 0.1.0
SAN ?=
V ?=
Q = $(if $(V),,@)
ifeq ($(SAN),)
BUILD ?= build
OPT = -O2
else
BUILD ?= build/san
OPT = -O1 -fsanitize=address,undefined -fno-sanitize-recover=undefined \
      -fno-omit-frame-pointer
endif

PKGS = libuv msgpack glib-2.0 yaml-0.1 jansson libxxhash openssl log4c
CPPFLAGS += -D_GNU_SOURCE -DWY_VERSION='"$(VERSION)"' \
            -I. -Isrc -Itests $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CFLAGS += -std=c11 -g $(OPT) -Wall -Wextra -Werror -Wno-unused-parameter \
          -Wmissing-prototypes -Wstrict-prototypes -Wvla
LDLIBS = -lhttp_parser $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lm -lpthread

PROGRAMS = $(patsubst src/cmd/%.c,%,$(wildcard src/cmd/*.c))
LIB_SRC = $(filter-out src/cmd/%,$(wildcard src/*/*.c)) $(wildcard platform/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libwaxwing.a
BINS = $(PROGRAMS:%=$(BUILD)/bin/%)
TEST_SRC = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
TEST_HELP_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support/*.c))
BENCH_SRC = $(wildcard bench/*.c)
BENCHES = $(BENCH_SRC:bench/%.c=$(BUILD)/bench/%)
BENCH_HELP_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard bench/support/*.c))
ALL_C = $(wildcard src/*/*.c platform/*.c tests/*.c tests/*/*.c bench/*.c bench/*/*.c fuzz/*.c)
ALL_H = $(wildcard src/*/*.h platform/*.h tests/*.h tests/*/*.h bench/*.h bench/*/*.h fuzz/*.h)

.SECONDARY:
.PHONY: all deploy config-page check-pages slopes capacity-page packages format lint test check bench \
  bench-ci fuzz fuzz-targets demo mutations demo-platform soak-platform soak-seeds install clean

all: $(LIB) $(BINS)

# The programs that run on the platform's machines.
deploy: $(BUILD)/bin/wygated $(BUILD)/bin/wyorderd

packages:
	./scripts/install-packages.sh

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^

$(BUILD)/bin/%: $(BUILD)/src/cmd/%.o $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $< $(LIB) $(LDLIBS)

# Tests of the decisions use the benches' simulation of a yard.
$(BUILD)/tests/%: $(BUILD)/tests/%.o $(TEST_HELP_OBJ) $(BENCH_HELP_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $< $(TEST_HELP_OBJ) $(BENCH_HELP_OBJ) \
	  $(LIB) -lcriterion $(LDLIBS)

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_HELP_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $< $(BENCH_HELP_OBJ) $(LIB) $(LDLIBS)

# clang-tidy runs once per changed file; the stamp records a run without findings.
build/tidy/%.ok: %.c $(ALL_H) .clang-tidy
	@mkdir -p $(@D)
	$(Q)clang-tidy --quiet $< -- $(CPPFLAGS) -std=c11 2>$@.log \
	  || { cat $@.log; exit 1; }
	@touch $@

format:
	clang-format -i $(ALL_C) $(ALL_H)

lint: $(patsubst %.c,build/tidy/%.ok,$(ALL_C))
	$(Q)clang-format --dry-run -Werror $(ALL_C) $(ALL_H)
	$(Q)./scripts/check-names.sh

# The pages on settings and log lines are generated from the programs; the check
# fails when they are out of date, or when a page names a file, an identifier or
# a test that the tree does not have.
config-page: all
	./scripts/config-page.sh $(BUILD)/bin > docs/CONFIG.md
	./scripts/logs-page.sh > docs/LOGS.md
check-pages: all
	./scripts/slopes/page.sh | diff docs/CAPACITY.md -
	./scripts/config-page.sh $(BUILD)/bin | diff docs/CONFIG.md -
	./scripts/logs-page.sh | diff docs/LOGS.md -
	./scripts/check-doc-names.sh

# Measures the cost of each role (several minutes, bench packages needed) and
# generates the capacity page from it.
slopes: all
	./scripts/install-packages.sh packages-bench.txt
	./scripts/slopes/run.sh $(BUILD)/bin build/slopes build/slopes
	awk -f scripts/slopes/fit.awk build/slopes/points.tsv > bench/slopes.tsv
	./scripts/slopes/plot.sh build/slopes/points.tsv bench/slopes.tsv \
	  bench/slopes
	$(MAKE) capacity-page
capacity-page:
	./scripts/slopes/page.sh > docs/CAPACITY.md

# The tests find the programs under test through WY_BIN.
test: all $(TESTS)
	WY_BIN=$(BUILD)/bin ./scripts/run-tests.sh $(TESTS)

check: packages
	$(MAKE) all
	$(MAKE) lint
	$(MAKE) check-pages
	$(MAKE) test

bench: all $(BENCHES)
	./scripts/bench.sh $(BUILD)/bench

# Only the figures in virtual time, which are the same on every machine.
bench-ci: all $(BENCHES)
	./scripts/bench.sh $(BUILD)/bench ci

# Each target runs a fixed number of inputs from a fixed seed.
FUZZ_RUNS ?= 20000
fuzz: packages
	$(MAKE) BUILD=build/fuzz CC=clang fuzz-targets \
	  OPT="-O1 -fsanitize=fuzzer-no-link,address -fno-omit-frame-pointer"
	for t in $(patsubst fuzz/%.c,build/fuzz/bin/%,$(wildcard fuzz/*.c)); do \
	  ./scripts/fuzz.sh $$t $(FUZZ_RUNS) || exit 1; \
	done

fuzz-targets: $(patsubst fuzz/%.c,$(BUILD)/bin/%,$(wildcard fuzz/*.c))

$(BUILD)/bin/fuzz_%: $(BUILD)/fuzz/fuzz_%.o $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -fsanitize=fuzzer,address -o $@ $< $(LIB) $(LDLIBS)

demo: packages
	$(MAKE) all
	./scripts/demo.sh $(BUILD)/bin build/demo

# Checks that the checker notices one missing or one additional event in the
# timeline of the last demo.
mutations: $(BUILD)/tests/test_check_mutations
	WY_TIMELINE=build/demo/timeline.jsonl $<

# The demo on a platform that lists its replicas and provides a row store.
demo-platform: packages
	$(MAKE) all
	./scripts/demo-platform.sh $(BUILD)/bin $(BUILD)/demo-platform

# make soak-platform SEED=n SECONDS=n: the gates under a seeded mix of faults.
soak-platform: SEED ?= 1
soak-platform: SECONDS ?= 15
soak-platform: packages
	$(MAKE) all
	./scripts/soak-platform.sh $(BUILD)/bin $(BUILD)/soak-platform $(SEED) $(SECONDS)

soak-seeds: packages
	$(MAKE) all
	grep -v '^#' scripts/soak-seeds.txt | while read -r seed seconds cause; do \
	  echo "seed $$seed: $$cause"; \
	  ./scripts/soak-platform.sh $(BUILD)/bin $(BUILD)/soak-platform $$seed $$seconds || exit 1; \
	done

# make faults SEED=n SECONDS=n: the yard under a seeded mix of faults.
faults: SEED ?= 1
faults: SECONDS ?= 60
faults: packages
	$(MAKE) all
	./scripts/faults.sh $(BUILD)/bin build/faults $(SEED) $(SECONDS)

# Measures the latency that entry and agent add to a call.
latency: all
	./scripts/latency.sh $(BUILD)/bin build/latency

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig
	install -m 755 $(BINS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	for d in src/*/; do \
	  p=$$(basename $$d); \
	  install -d $(DESTDIR)$(PREFIX)/include/waxwing/$$p; \
	  ls $$d*.h >/dev/null 2>&1 && install -m 644 $$d*.h \
	    $(DESTDIR)$(PREFIX)/include/waxwing/$$p || true; \
	done
	install -d $(DESTDIR)$(PREFIX)/share/man/man1 \
	  $(DESTDIR)$(PREFIX)/share/man/man8 \
	  $(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/*.8 $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 644 completion/wyctl \
	  $(DESTDIR)$(PREFIX)/share/bash-completion/completions
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
	  scripts/waxwing.pc.in > $(DESTDIR)$(PREFIX)/lib/pkgconfig/waxwing.pc

clean:
	rm -rf build

-include $(wildcard $(BUILD)/src/*/*.d $(BUILD)/platform/*.d $(BUILD)/tests/*.d \
  $(BUILD)/tests/*/*.d $(BUILD)/bench/*.d $(BUILD)/bench/*/*.d)
