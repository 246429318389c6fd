#include "entry/cli.h"
#include "entry/server.h"

using namespace geraniumhinge;

int
main(int argc, char** argv)
{
  entry::CliHooks hooks;
  hooks.serve = entry::serve;
  hooks.check = entry::check;
  return entry::run_cli(argc, argv, hooks);
}
