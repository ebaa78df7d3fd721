// Roarr writes nothing unless this variable is set when it is first imported.
// Which lines are written is decided by the loggers of this folder.
process.env['ROARR_LOG'] = 'true';
