# Builds the library, the daemon, the command line tool, the stand-ins for
# outside servers, the tests and the benchmarks. SAN=1 builds with
# AddressSanitizer and UndefinedBehaviorSanitizer into build/san.

CC ?= gcc
PKGS = glib-2.0 libcurl libmicrohttpd libzmq jansson libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lmsgpackc -lev -llog4c \
    -lhttp_parser -lz -lm
# The gateway links only the libraries that it needs, to use less memory.
GATEWAY_CFLAGS := $(shell pkg-config --cflags glib-2.0 jansson)
GATEWAY_LIBS := $(shell pkg-config --libs glib-2.0 jansson) -lev -llog4c \
    -lhttp_parser -lmsgpackc -lxxhash -lz -lm
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes -Wpointer-arith -Wno-unused-parameter
CSTD = -std=gnu11 -D_GNU_SOURCE
PREFIX ?= /usr/local

ifeq ($(SAN),1)
BUILD = build/san
OPT = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined \
    -fno-omit-frame-pointer -DBW_FATAL_INVARIANTS=1
else
BUILD = build/release
OPT = -O2 -g
endif

CFLAGS = $(CSTD) $(WARN) $(OPT) -Iinclude $(PKG_CFLAGS) -MMD -MP

LIB_SRC := $(wildcard source/*/*.c) $(wildcard platform/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libbulrushwell.a

TOOL_SRC := $(wildcard tools/*.c)
FAKE_LIB_SRC := $(wildcard fakes/lib/*.c)
FAKE_SRC := $(wildcard fakes/*.c)
BENCH_SRC := $(wildcard bench/*.c)
TEST_LIB_SRC := $(wildcard tests/lib/*.c)
TEST_SRC := $(wildcard tests/test_*.c)

BINS := $(TOOL_SRC:tools/%.c=$(BUILD)/bin/%) \
    $(FAKE_SRC:fakes/%.c=$(BUILD)/bin/%) \
    $(BENCH_SRC:bench/%.c=$(BUILD)/bin/%)
TESTS := $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)

TEST_LIB_OBJ := $(TEST_LIB_SRC:%.c=$(BUILD)/%.o)
FAKE_LIB_OBJ := $(FAKE_LIB_SRC:%.c=$(BUILD)/%.o)

ALL_C := $(LIB_SRC) $(TOOL_SRC) $(FAKE_LIB_SRC) $(FAKE_SRC) $(BENCH_SRC) \
    $(TEST_LIB_SRC) $(TEST_SRC) $(wildcard tests/fuzz/*.c)
ALL_H := $(wildcard include/bulrushwell/*.h source/*/*.h platform/*.h fakes/lib/*.h \
    tests/lib/*.h bench/*.h)

GATEWAY_SRC := tools/bulrushwell-gateway.c $(wildcard source/gateway/*.c \
    source/http/*.c source/peers/*.c platform/*.c) \
    $(addprefix source/base/,buffer.c clock.c codec.c \
    error.c event.c histogram.c json_partial.c log_sink.c loop_clock.c name.c \
    store_position.c) source/net/net_address.c source/query/limiter.c \
    source/routing/suspect.c
GATEWAY_OBJ := $(GATEWAY_SRC:%.c=$(BUILD)/%.o)
GATEWAY = $(BUILD)/bin/bulrushwell-gateway

.PHONY: gateway all tests check check-unit check-process format format-check lint \
    fuzz clean install
.SECONDARY:

all: $(BINS)

tests: $(TESTS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $@"
	@$(CC) $(CFLAGS) -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@echo "AR $@"
	@ar rcsP $@ $^

gateway: $(GATEWAY)

# The gateway's objects are compiled only with the flags of its libraries.
$(GATEWAY_OBJ): PKG_CFLAGS = $(GATEWAY_CFLAGS)

$(GATEWAY): $(GATEWAY_OBJ)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(OPT) -o $@ $^ $(GATEWAY_LIBS)

$(BUILD)/bin/%: $(BUILD)/tools/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(OPT) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bin/%: $(BUILD)/fakes/%.o $(FAKE_LIB_OBJ) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(OPT) -o $@ $^ $(PKG_LIBS)

$(BUILD)/bin/%: $(BUILD)/bench/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(OPT) -o $@ $^ $(PKG_LIBS)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(TEST_LIB_OBJ) $(FAKE_LIB_OBJ) $(LIB)
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(OPT) -o $@ $^ $(PKG_LIBS) -lcmocka

# Runs all tests except those that KNOWN-RED.txt lists; these are printed.
check: all tests
	BUILD=$(BUILD) tests/run.sh

format:
	clang-format -i $(ALL_C) $(ALL_H)

format-check:
	@clang-format --dry-run -Werror $(ALL_C) $(ALL_H)

lint:
	cppcheck --quiet --std=c11 --enable=warning,portability,performance \
	    --error-exitcode=1 --inline-suppr --suppressions-list=.cppcheck \
	    -j 4 -D_GNU_SOURCE --library=.cppcheck.cfg -Iinclude source platform tools fakes bench tests

# Fuzzes BW_TARGET (see tests/lib/fuzz_targets.c) with libFuzzer for FUZZ_SECONDS.
# Needs clang and its runtime, which the tests do not.
FUZZ = build/fuzz/driver
FUZZ_SECONDS ?= 600
FUZZ_CORPUS = build/fuzz/corpus-$(BW_TARGET)

$(FUZZ): $(LIB_SRC) tests/lib/fuzz_targets.c tests/fuzz/driver.c
	@mkdir -p $(@D)
	clang $(CSTD) -O1 -g -fsanitize=fuzzer,address,undefined \
	    -fno-sanitize-recover=undefined -Iinclude $(PKG_CFLAGS) -o $@ $^ \
	    $(PKG_LIBS)

fuzz: $(FUZZ)
	@mkdir -p $(FUZZ_CORPUS)
	BW_TARGET=$(BW_TARGET) $(FUZZ) -max_len=4096 -print_final_stats=1 \
	    -max_total_time=$(FUZZ_SECONDS) -artifact_prefix=build/fuzz/ \
	    $(FUZZ_CORPUS) tests/fuzz/$(BW_TARGET)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
	    $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(BUILD)/bin/bulrushwelld $(BUILD)/bin/bulrushwell \
	    $(BUILD)/bin/bulrushwell-gateway $(DESTDIR)$(PREFIX)/bin
	install -m 644 docs/man/bulrushwell.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 docs/man/bulrushwelld.8 docs/man/bulrushwell-gateway.8 \
	    $(DESTDIR)$(PREFIX)/share/man/man8

clean:
	rm -rf build

-include $(wildcard $(BUILD)/*/*.d $(BUILD)/*/*/*.d)
