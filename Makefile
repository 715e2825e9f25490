# quayring: see README.md for the targets.

VERSION := $(shell cat VERSION)
CC ?= gcc
PKGS := glib-2.0 json-c neon libmicrohttpd libprotobuf-c liburcu-bp libcrypto
B ?= build
PREFIX ?= /usr/local
WARN := -Wall -Wextra -Werror -Wshadow -Wpointer-arith -Wstrict-prototypes \
        -Wmissing-prototypes -Wundef
CFLAGS ?= -O2 -g
SAN ?=
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE -DQR_VERSION='"$(VERSION)"' -Isrc \
             $(WARN) $(CFLAGS) $(SAN) \
             $(shell pkg-config --cflags $(PKGS))
LIBS = $(shell pkg-config --libs $(PKGS)) -llog4c -lpthread

GEN := src/wire/quayring.pb-c.c
LIB_SRC := $(GEN) $(filter-out src/cmd/% $(GEN),$(wildcard src/*/*.c))
CMD_SRC := $(wildcard src/cmd/*.c)
OWN := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*/*.[ch] tests/*.[ch]))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
CMD_OBJ := $(CMD_SRC:%.c=$(B)/%.o)

all: $(B)/quayring

$(B)/quayring: $(CMD_OBJ) $(LIB_OBJ)
	$(CC) $(SAN) -o $@ $^ $(LIBS)

$(B)/src/wire/quayring.pb-c.o: src/wire/quayring.pb-c.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -c -o $@ $<

$(B)/%.o: %.c VERSION
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -c -o $@ $<

-include $(LIB_OBJ:.o=.d) $(CMD_OBJ:.o=.d)

clean:
	rm -rf build build-*

.PHONY: all clean
