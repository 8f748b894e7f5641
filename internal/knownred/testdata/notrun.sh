#!/bin/sh
# A listed script that finds that it cannot run.
exit 2
