#!/bin/sh
# A listed script that fails.
exit 1
